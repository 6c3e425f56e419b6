package proptest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPropertyTestsUseFixedSeed finds packages that use rapid without importing
// internal/proptest. Their property tests would run with a random seed.
func TestPropertyTestsUseFixedSeed(t *testing.T) {
	usesRapid := map[string]bool{}
	fixesSeed := map[string]bool{}
	files, err := filepath.Glob("../*/*_test.go")
	require.NoError(t, err)
	nested, err := filepath.Glob("../*/*/*_test.go")
	require.NoError(t, err)
	for _, file := range append(files, nested...) {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		dir := filepath.Dir(file)
		usesRapid[dir] = usesRapid[dir] || strings.Contains(string(raw), `"pgregory.net/rapid"`)
		fixesSeed[dir] = fixesSeed[dir] || strings.Contains(string(raw), `catkinstair/internal/proptest"`)
	}
	for dir, used := range usesRapid {
		if used && !fixesSeed[dir] {
			t.Errorf("%s uses rapid without importing internal/proptest: its seed is random", dir)
		}
	}
}

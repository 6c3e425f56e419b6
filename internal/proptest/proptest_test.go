package proptest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEveryPropertyHasAFixedSeed finds packages whose property tests would run
// with a random seed.
func TestEveryPropertyHasAFixedSeed(t *testing.T) {
	uses := map[string]bool{}
	fixed := map[string]bool{}
	files, err := filepath.Glob("../*/*_test.go")
	require.NoError(t, err)
	nested, err := filepath.Glob("../*/*/*_test.go")
	require.NoError(t, err)
	for _, file := range append(files, nested...) {
		raw, err := os.ReadFile(file)
		require.NoError(t, err)
		dir := filepath.Dir(file)
		uses[dir] = uses[dir] || strings.Contains(string(raw), `"pgregory.net/rapid"`)
		fixed[dir] = fixed[dir] || strings.Contains(string(raw), `catkinstair/internal/proptest"`)
	}
	for dir, used := range uses {
		if used && !fixed[dir] {
			t.Errorf("%s uses rapid without importing internal/proptest: its seed is random", dir)
		}
	}
}

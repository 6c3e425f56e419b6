package obs

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime/debug"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a build without a name: "(devel)" was all that a build without a
// version-control stamp showed.
func TestVersionNamesEveryBuild(t *testing.T) {
	stamped := &debug.BuildInfo{Main: debug.Module{Version: "(devel)"}, Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "0123456789abcdef"}, {Key: "vcs.modified", Value: "true"}}}
	devel := &debug.BuildInfo{Main: debug.Module{Version: "(devel)"}}
	exe := func() string { return "55aa" }
	none := func() string { return "" }
	for _, c := range []struct {
		name, commit, source string
		info                 *debug.BuildInfo
		exe                  func() string
		want                 string
	}{
		{"linker flags", "c0ffee", "abcd", devel, none, "c0ffee+src.abcd"},
		{"linker's commit before the stamp", "c0ffee", "abcd", stamped, none, "c0ffee+src.abcd"},
		{"stamp", "", "", stamped, exe, "0123456789ab-dirty+exe.55aa"},
		{"module version", "", "", &debug.BuildInfo{Main: debug.Module{Version: "v1.2.3"}}, exe, "v1.2.3+exe.55aa"},
		{"no history", "", "abcd", devel, exe, "src.abcd"},
		{"plain go build", "", "", devel, exe, "exe.55aa"},
		{"no build information", "", "", nil, exe, "exe.55aa"},
		{"nothing", "", "", nil, none, "devel"},
	} {
		assert.Equal(t, c.want, version(c.commit, c.source, c.info, c.exe), c.name)
	}
	assert.Regexp(t, `(^|\+)(src|exe)\.[0-9a-f]{12}$`, Version())
}

// Guards against a source hash that depends on the directory or on tests, or that misses a
// change, and against a script that fails where git is missing.
func TestVersionFlags(t *testing.T) {
	shell, err := exec.LookPath("sh")
	if err != nil {
		t.Skip("no shell")
	}
	script, err := os.ReadFile("../../scripts/version-flags.sh")
	require.NoError(t, err)
	files := map[string]string{"scripts/version-flags.sh": string(script), "go.mod": "module x\n", "go.sum": "", "cmd/a/main.go": "package main\n",
		"internal/b/b.go": "package b\n", "internal/b/b_test.go": "package b\n", "platform/p.go": "package platform\n"}
	tree := func(changes map[string]string) string {
		dir := t.TempDir()
		for _, from := range []map[string]string{files, changes} {
			for name, text := range from {
				file := filepath.Join(dir, name)
				require.NoError(t, os.MkdirAll(filepath.Dir(file), 0o755))
				require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
			}
		}
		return dir
	}
	flags := func(dir string) string {
		cmd := exec.Command(shell, "scripts/version-flags.sh")
		cmd.Dir = dir
		out, err := cmd.Output()
		require.NoError(t, err)
		return string(out)
	}
	first := flags(tree(nil))
	require.Regexp(t, regexp.MustCompile(`^ -X github.com/catkinstair/catkinstair/internal/obs\.source=[0-9a-f]{12}\n$`), first)
	assert.Equal(t, first, flags(tree(nil)), "another directory")
	assert.Equal(t, first, flags(tree(map[string]string{"internal/b/b_test.go": "package b // changed\n"})), "a changed test")
	for _, name := range []string{"go.sum", "internal/b/b.go", "platform/new.go"} {
		assert.NotEqual(t, first, flags(tree(map[string]string{name: "package b // changed\n"})), name)
	}

	dir := tree(nil)
	cmd := exec.Command(shell, "scripts/version-flags.sh")
	cmd.Dir, cmd.Env = dir, []string{"PATH=" + t.TempDir()}
	_, err = cmd.Output()
	require.NoError(t, err, "without any other program")
}

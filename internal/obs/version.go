package obs

import (
	"crypto/sha256"
	"encoding/hex"
	"io"
	"os"
	"runtime/debug"
	"strings"
	"sync"
)

// commit and source are set by the linker (scripts/version-flags.sh): the commit, "" if the
// build has no repository history, and a hash of the program's sources.
var commit, source string

// commitLength is the number of digits of a commit's hash in a version.
const commitLength = 12

// Version names the build: the commit if it is known, and a hash of the sources ("src.") or,
// in a build without one, of the executable ("exe."). Builds of the same sources have the same
// hash of sources; the executable also depends on the toolchain, its flags and the directory.
var Version = sync.OnceValue(func() string {
	info, _ := debug.ReadBuildInfo()
	return version(commit, source, info, executableHash)
})

func version(commit, source string, info *debug.BuildInfo, executableHash func() string) string {
	var parts []string
	if commit == "" {
		commit = recordedCommit(info)
	}
	if commit != "" {
		parts = append(parts, commit)
	}
	if source != "" {
		parts = append(parts, "src."+source)
	} else if hash := executableHash(); hash != "" {
		parts = append(parts, "exe."+hash)
	}
	if len(parts) == 0 {
		return "devel"
	}
	return strings.Join(parts, "+")
}

// recordedCommit returns the commit, or else the module version, that the go command recorded
// in the build, or "".
func recordedCommit(info *debug.BuildInfo) string {
	if info == nil {
		return ""
	}
	revision, suffix := "", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(len(s.Value), commitLength)]
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "-dirty"
		}
	}
	if revision != "" {
		return revision + suffix
	}
	if info.Main.Version == "(devel)" {
		return ""
	}
	return info.Main.Version
}

// executableHash returns a hash of the running executable, or "" if it can't be read.
func executableHash() string {
	name, err := os.Executable()
	if err != nil {
		return ""
	}
	f, err := os.Open(name)
	if err != nil {
		return ""
	}
	defer f.Close()
	h := sha256.New()
	if _, err := io.Copy(h, f); err != nil {
		return ""
	}
	return hex.EncodeToString(h.Sum(nil))[:commitLength]
}

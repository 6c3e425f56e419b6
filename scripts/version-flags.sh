#!/bin/sh
# Prints the linker flags that name the build: the commit, where this directory is a git
# checkout, and a hash of the sources, which needs no history. It prints what it can
# determine and never fails, so that a build works without git.
cd "$(dirname "$0")/.." || exit 0
package=github.com/catkinstair/catkinstair/internal/obs

# Only a checkout of this repository counts: a copy inside another repository would get that
# one's commit.
if [ -e .git ]; then
	commit=$(git describe --always --dirty --abbrev=12 --exclude='*' 2>/dev/null)
fi
# Tests are left out, because they are no part of a program.
source=$(find go.mod go.sum cmd internal platform -type f \( -name '*.go' ! -name '*_test.go' -o -name 'go.*' \) 2>/dev/null |
	LC_ALL=C sort | xargs sha256sum 2>/dev/null | sha256sum 2>/dev/null | cut -c1-12)
case $source in
e3b0c44298fc) source= ;; # hash of nothing: the sources were not found
esac

flags=
[ -n "$commit" ] && flags="-X $package.commit=$commit"
[ -n "$source" ] && flags="$flags -X $package.source=$source"
echo "$flags"

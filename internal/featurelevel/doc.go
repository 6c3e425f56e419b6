// Package featurelevel names the feature level of this build, which each VM's record and messages
// carry. It is raised by a build that adds a decision which is wrong or useless unless all VMs make
// it; builds that do not name one are at level 0. docs/design/compatibility.md has the list of
// levels.
package featurelevel

// Current is the feature level of this build.
const Current = 2

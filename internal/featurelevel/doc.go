// Package featurelevel decides whether all known VMs run builds that take part in a decision.
// Each VM's record names its feature level. It is raised by one with a build that adds a
// decision which is wrong or useless unless all VMs make it; builds that do not name one are at
// level 0. docs/design/compatibility.md has the list of levels.
package featurelevel

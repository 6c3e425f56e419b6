// Package routes holds one version of the operators' configuration as a table for
// request look-ups: the route by host and longest path prefix, the service by the
// route's traffic split, and the team by key. A table is immutable; only a table of a
// newer version replaces it.
package routes

// Package report defines the report that catkin-load prints, and renders such reports as
// one self-contained HTML page with plots.
package report

// Package ctl implements catkinctl, the operators' command line for the administration
// API.
//
// Results go to standard output, as tables or, with -o json, as the API's JSON.
// Everything else goes to standard error. The exit codes are the constants ExitOK to
// ExitUnauthorized.
package ctl

// Exit codes of catkinctl.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitRefused means that the sheet is invalid or was refused, that a VM lags behind
	// the newest version, that a trace replay failed, or that no log line matches.
	ExitRefused = 1
	// ExitUsage means that the command line or a setting is invalid.
	ExitUsage = 2
	// ExitUnavailable means that nothing was changed: no address responded, or the
	// key-value service was down.
	ExitUnavailable = 3
	// ExitUnknown means that a change may have been made. Running the same command again
	// is safe.
	ExitUnknown = 4
	// ExitUnauthorized means that the operator's key was rejected.
	ExitUnauthorized = 5
)

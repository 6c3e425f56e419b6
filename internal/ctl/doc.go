// Package ctl is the operators' command line, over the administration API.
//
// Exit codes: see the constants ExitOK to ExitUnauthorized. Answers go to
// standard output, as tables or with -o json as the API's own JSON; everything
// else goes to standard error.
package ctl

// The exit codes.
const (
	// ExitOK means that it was done, or that all is well.
	ExitOK = 0
	// ExitRefused means that the sheet has faults or was refused, that somebody
	// lags, or that a trace did not show its outcomes.
	ExitRefused = 1
	// ExitUsage means that the command line or a setting is faulty.
	ExitUsage = 2
	// ExitUnavailable means that nothing was done: no address answered, or the
	// key-value service was down.
	ExitUnavailable = 3
	// ExitUnknown means that a change may have been made. The same command may
	// be given again.
	ExitUnknown = 4
	// ExitUnauthorized means that the key was not accepted.
	ExitUnauthorized = 5
)

// Package poison finds requests, and parts of prompts, that crash backend servers, and blocks
// them.
//
// A crash cuts many runs, of which few can have caused it. A run that has written events, or
// its whole response, is not the cause, and its progress clears its request and all parts of
// its prompt. What is left are the runs that were cut before.
//
// A part of a prompt is blocked if such runs were cut in several crashes one after the
// other, each sent after the crash before it, and no run with the part has made progress
// since. Servers that end together, as in the loss of a failure domain, therefore count as
// one crash.
//
// A request is known by its fingerprint, which its repetitions share. It is blocked after two
// crashes if no other request was cut in both, otherwise after three. Plain requests that were cut
// in one crash are suspects: they follow each other at an interval, so that most crashes have
// one cause. A lost connection is evidence only once another server of the service has
// responded, or the server's record is gone: until then the VM's own links may have failed. A
// server that responds to a request sent after its crash has not crashed; only its connections
// were lost.
//
// A few trials, at growing intervals, end the blocks of what was convicted by chance.
//
// Repetitions come at any VM. The VMs exchange crashes, clearances and blocks in Updates, so
// that all of them decide on the same evidence.
//
// Guard is a pure state machine. Callers choose the requests, so every table is bounded.
package poison

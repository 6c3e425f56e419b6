// Package process holds what the shells of the system's processes share: the event queue
// of the core, the worker pool for blocking calls, the goroutines, the trace, and the
// settings that identify a VM.
package process

// Package dispatch decides, for one VM, what happens to each request: which backend
// servers it is sent to, whether it may be sent again, or with which verdict it is refused.
// It combines the current configuration (internal/routes), the observed state of the
// backend servers (internal/backend), the path search (internal/paths), the retry budget
// (internal/retry), what may crash servers (internal/poison) and this VM's own links
// (internal/reach): while those are cut, requests go to other VMs.
//
// Core is a pure state machine: times are passed in as durations since the process started,
// and the caller must serialize the calls.
package dispatch

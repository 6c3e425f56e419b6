// Package adminapi is the administration API: its requests and answers, and the
// HTTP handler that serves them over a Backend.
//
// Every path wants "Authorization: Bearer KEY"; without a valid key nothing but
// 401 is given, not even whether a path exists. Keys belong to operators by name,
// and the name goes into the audit trail.
//
//	POST /admin/v1/sheet/check    CSV in, faults out; nothing is compared
//	POST /admin/v1/sheet/diff     CSV in, faults and changes against what is in force out
//	POST /admin/v1/sheet/apply    CSV in, config.Outcome out
//	GET  /admin/v1/limits         ?team=T&service=S
//	GET  /admin/v1/config/status
//	GET  /admin/v1/vms
//	GET  /admin/v1/backends       ?service=S
//	POST /admin/v1/drain          {"vm": V}
//	GET  /admin/v1/orders
//	GET  /admin/v1/audit          ?since=RFC3339&max=N
package adminapi

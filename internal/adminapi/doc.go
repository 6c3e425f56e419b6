// Package adminapi defines the administration API: its request and response types, and
// the HTTP handler that serves them from a Controller.
//
// Every path requires "Authorization: Bearer KEY". Without a valid key the response is
// always 401 and does not reveal whether the path exists. Each key belongs to a named
// operator, whose name is recorded in the audit trail.
//
//	POST /admin/v1/sheet/check    CSV in, faults out; not compared with the limits in force
//	POST /admin/v1/sheet/diff     CSV in, faults and changes to the limits in force out
//	POST /admin/v1/sheet/apply    CSV in, config.Outcome out
//	GET  /admin/v1/limits         ?team=T&service=S
//	GET  /admin/v1/config/status
//	GET  /admin/v1/vms
//	GET  /admin/v1/backends       ?service=S
//	POST /admin/v1/drain          {"vm": V}
//	POST /admin/v1/gone           {"vms": [V, ...]}
//	GET  /admin/v1/orders
//	GET  /admin/v1/audit          ?since=RFC3339&max=N
package adminapi

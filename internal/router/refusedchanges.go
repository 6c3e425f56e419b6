package router

import "github.com/catkinstair/catkinstair/internal/verdict"

// recordRefusedChange notes that the server at addr, which the request leaves out, refused a
// change of its path. Routes without a pause objective keep leaving it out.
func (x *exchange) recordRefusedChange(addr string) {
	x.r.locked(func() {
		if s := x.r.core.Backends.ByAddr(addr); s != nil && x.req.Route.MaxGap > 0 {
			x.refusedChanges = append(x.refusedChanges, s.ID)
		}
	})
}

// readmitRefusedChanges lets the next run of the request use the servers again that refused a
// change of its path, if no run was possible without them. They may have room by now, and a
// stream without another run is cut. It reports whether there were any. The caller holds
// Router.mu.
func (x *exchange) readmitRefusedChanges(cause verdict.Cause) bool {
	if len(x.refusedChanges) == 0 || (cause != verdict.CauseLayersMissing && cause != verdict.CauseNoCapacity) {
		return false
	}
	for _, id := range x.refusedChanges {
		delete(x.req.Avoid, id)
	}
	x.refusedChanges = nil
	return true
}

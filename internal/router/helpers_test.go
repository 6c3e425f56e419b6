package router

import "github.com/catkinstair/catkinstair/internal/paths"

// pathOf returns the path of a stream in progress, nil if there is none or it has no path yet.
func (r *Router) pathOf(requestID string) []paths.Stage {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	for st := range r.streams.active {
		if ch := st.choice(); st.x.req.ID == requestID && ch != nil {
			return ch.Stages
		}
	}
	return nil
}

package router

import "github.com/catkinstair/catkinstair/internal/paths"

// pathOf is the path of a stream in progress.
func (r *Router) pathOf(requestID string) []paths.Stage {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	for st := range r.streams.all {
		if st.x.req.ID == requestID {
			return st.choice().Stages
		}
	}
	return nil
}

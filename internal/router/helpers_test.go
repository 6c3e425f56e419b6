package router

import "github.com/catkinstair/catkinstair/internal/paths"

// pathOf returns the path of a stream in progress, nil if there is none.
func (r *Router) pathOf(requestID string) []paths.Stage {
	r.streams.mu.Lock()
	defer r.streams.mu.Unlock()
	for st := range r.streams.active {
		if st.x.req.ID == requestID {
			return st.choice().Stages
		}
	}
	return nil
}

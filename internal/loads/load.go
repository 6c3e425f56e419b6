package loads

// Load is the work in progress on a backend server: the number of streams, and the sum of
// their tokens times the layers that the server runs for them.
type Load struct {
	Streams, TokenLayers float64
	// FirstStage is the number of streams whose first stage is this server.
	FirstStage float64
}

// addScaled returns l + factor*other.
func (l Load) addScaled(other Load, factor float64) Load {
	return Load{Streams: l.Streams + factor*other.Streams, TokenLayers: l.TokenLayers + factor*other.TokenLayers, FirstStage: l.FirstStage + factor*other.FirstStage}
}

// clampNegative sets negative values to zero. Subtracting loads of different ages can yield
// them.
func (l Load) clampNegative() Load {
	return Load{Streams: max(0, l.Streams), TokenLayers: max(0, l.TokenLayers), FirstStage: max(0, l.FirstStage)}
}

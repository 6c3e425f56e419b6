package loads

// Load is work in progress on a backend server.
type Load struct {
	Streams, TokenLayers float64
	// Firsts are the streams for which the server is the first.
	FirstStage float64
}

// plus adds times the other load.
func (l Load) plus(other Load, times float64) Load {
	return Load{Streams: l.Streams + times*other.Streams, TokenLayers: l.TokenLayers + times*other.TokenLayers, FirstStage: l.FirstStage + times*other.FirstStage}
}

// atLeastZero bounds what differences of loads of different ages leave.
func (l Load) atLeastZero() Load {
	return Load{Streams: max(0, l.Streams), TokenLayers: max(0, l.TokenLayers), FirstStage: max(0, l.FirstStage)}
}

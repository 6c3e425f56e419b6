// Package engine is the adapter to model engines. An engine holds a range of a model's
// layers and serves many streams. For each token of a stream, the router sends one step
// to each stage of the pipeline, in order.
package engine

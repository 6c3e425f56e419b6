// Package engine is the adapter to model engines. An engine holds a range of a model's
// layers for many streams. The router sends every token of a stream through the stages
// as steps.
package engine

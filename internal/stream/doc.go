// Package stream decides how one entry process drives the token streams of its
// callers through the stages of a model pipeline.
//
// The rules it guards: every layer of the model runs exactly once for each
// token and in order, and each caller receives the whole answer to its own
// request or an explicit cut that never looks like the normal end.
//
// A Table holds the open streams. One step of a stream is in flight at a time:
// token t goes to stage 0, its answer to stage 1, and so on; the last stage's
// answer is the token's text and the first stage's input for token t+1. Every
// step names stream, attempt, token index and layer range. An answer that does
// not match the step in flight in all of them is dropped and counted.
//
// The contract with an engine, which the fakes of the tests follow:
//   - It keeps one KV cache per stream, at a position: the number of tokens run.
//   - It runs a step only if the token equals the position, else it answers
//     "position:<k>" and has not run it.
//   - A repeated (stream, attempt, token) returns the stored answer and does not
//     run again. This makes resending a step after a lost reply safe.
//   - Token 0 carries the whole prompt to the first stage (prefill); every
//     later token carries the text of the one before it.
//
// An attempt counts how often the layer range of one stage was taken over: a
// replacement gets a new number, the surviving stages keep theirs and their
// caches. A stream that starts over gets a new stream name at the engines, so
// that no old cache or late step can mix with the new run.
//
// Four ways to go on after a stage died; the one with the least expected time,
// by the step times seen on this stream, is taken: import of the last exported KV cache and replay of the inputs kept since
// then; replay of all kept inputs of that one boundary; prefill of all stages
// with the prompt and the tokens so far as a new prompt; start over, which
// drives the prompt and every token through every stage again. Outputs that the
// caller already had are compared with what was sent and dropped.
//
// Truncating kept inputs at the position of an exported checkpoint follows the
// rule of log replication that only what is safely stored elsewhere may be
// forgotten (low-water mark), with bounded buffers.
package stream

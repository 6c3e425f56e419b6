// Package stream decides how one entry process runs its callers' token streams through the
// stages of a model pipeline. It is a pure state machine without I/O.
//
// It guarantees that every layer of the model runs exactly once for each token and in
// order, and that each caller receives either the complete answer to its own request or an
// explicit cut that cannot be mistaken for the normal end.
//
// A Table holds the open streams. One step of a stream is in flight at a time: token t is
// sent to stage 0, its output to stage 1, and so on. The last stage's output is the token's
// text and the first stage's input for token t+1. Every step names the stream, attempt,
// token index and layer range. An answer that differs from the step in flight in any of
// them is dropped and counted.
//
// Engines must follow this protocol, as the fake engines of the tests do:
//   - An engine keeps one KV cache per stream, at a position: the number of tokens run.
//   - It runs a step only if the token equals the position. Otherwise it answers
//     "position:<k>" without running the step.
//   - It answers a repeated (stream, attempt, token) with the stored answer and does not run
//     the step again. This makes it safe to resend a step after a lost reply.
//   - Token 0 carries the whole prompt to the first stage (prefill); every later token
//     carries the text of the previous one.
//
// A stage gets a new attempt number when another server takes over its layer range; the
// other stages keep theirs and their caches. A stream that is restarted at all stages gets a
// new name at the engines, so that no old cache or late step can mix with the new run.
//
// A stream resumes after the loss of a stage by one of four methods. The one with the least
// expected time is used, based on the step times of this stream:
//   - import of the last exported KV cache and replay of the inputs kept since then;
//   - replay of all kept inputs of the lost stage;
//   - prefill of all stages with the prompt and the tokens so far as the new prompt;
//   - start over, which runs the prompt and every token through every stage again. The
//     repeated tokens are compared with those the caller already has and are not sent again.
//
// Kept inputs are truncated at the position of an exported checkpoint, as a replicated log
// is truncated at its low-water mark: only what is stored safely elsewhere may be dropped.
// The buffers are bounded.
package stream

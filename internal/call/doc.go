// Package call decides how a plain service call is sent, repeated and answered,
// above all the calls that may not be repeated.
//
// # Idempotent calls
//
// They are tried again on another replica, over a new connection, within a
// budget that bounds the share of extra sends; a late one is hedged. The first
// reply answers the caller.
//
// # Calls that may run once
//
// At most one send may have reached a backend server. It goes over a new
// connection, or one that answered a moment ago, because an open connection can
// go silent for good. A send that failed before its first byte, and one of which
// the backend server itself says that it did not run, may be made again
// elsewhere. Any other failure ends the call with MayHaveRun.
//
// Callers repeat such calls with the same idempotency key, through other
// entries. Two kinds of keys keep a key's sends together:
//
//   - A key that starts with a prefix given with the entry addresses names its
//     home: one life of one VM ("ck1.<vm>.<incarnation>.<issue second>."). Only
//     the home ever sends it. It remembers in memory what became of each key; the
//     other entries forward to it. When that life is over the key can't run any
//     more, and whether it ran is not known: MayHaveRun.
//   - Any other key is claimed by a create in the key-value service before its
//     only sender sends it. Claims carry an id of their own, so that a lost reply
//     is told from a lost race.
//
// # When NotRun may be said
//
// For a call without a key, NotRun speaks of that call alone: no send may have
// reached a backend server.
//
// For a key it is a stronger promise: there is a moment t, between the acceptance
// of the attempt and its answer, such that no attempt with that key that any
// entry accepted up to t has run or ever will. A caller that makes one attempt at
// a time may thus take NotRun as final for the key. Attempts that it begins later
// may run; that is what NotRun invites to. Five rules keep the promise:
//
//  1. Only the key's single sender says NotRun: the home, or the holder of the
//     claim. An entry that merely forwards says MayHaveRun whatever happens to the
//     forward, a refused connection included: another entry may have forwarded
//     the key before. The same holds for every refusal that an entry makes before
//     it asked the single sender (see Unsettled).
//
//  2. The single sender says it only if each of its sends surely did not run, and
//     none is in progress.
//
//  3. An attempt that was on its way while NotRun was given must not run when it
//     arrives. The home leaves a tombstone with the time t on its own clock. A
//     forward carries a lower bound of the home's clock at the moment its entry
//     accepted it, worked out from a reading of that clock, and is refused if
//     that is not after t. Tombstones are kept for MaxAge; forwards older than that
//     are refused. A reading's error only makes refusals needless, never a
//     NotRun wrong.
//
//  4. For a claimed key the same is done with the service's revisions: NotRun is
//     said only after the record was marked so, at revision r. An entry takes
//     such a record over only for an attempt accepted after it had seen
//     revision r or later.
//
//  5. An attempt counts as accepted when its entry reads it. An entry that was
//     stopped for a while may read requests whose callers have gone on; it refuses
//     the keyed ones with MayHaveRun for a short time (see Config.StallAfter).
//     What a network holds back for longer than its caller waits, without ending
//     the connection, is beyond this promise.
//
// A home's table is bounded by keys, bytes and time. What is forgotten early
// raises a floor of issue times, under which an unknown key counts as expired:
// MayHaveRun.
package call

// Package call decides how calls to plain services are sent, retried and answered, in
// particular calls that must run at most once.
//
// # Idempotent calls
//
// A failed idempotent call is retried on another replica, over a new connection. A late
// one is hedged: sent to a second replica as well. A budget bounds retries and hedges to
// a share of the first sends; a retry after a failed connect is free. The caller gets
// the first reply.
//
// # Calls that run at most once
//
// At most one send of such a call may have reached a backend server. It uses a new
// connection, or one that carried an answer a moment ago, because an idle connection can
// go silent without an error. The call may be sent again to another server if the send
// failed before its first byte, or if the backend server replied that it did not run
// the call. Any other failure ends the call with MayHaveRun.
//
// Callers retry such calls with the same idempotency key, through any entry. There are
// two kinds of keys; each gives a key a single sender:
//
//   - Issued keys start with a prefix that callers get together with the entry
//     addresses. The prefix names the key's home, one incarnation of one VM
//     ("ck1.<vm>.<incarnation>.<issue second>."). Only the home sends the call; it
//     keeps the outcome of each key in memory, and other entries forward to it. After
//     the end of that incarnation no call with the key can run, but whether one ran
//     is unknown: MayHaveRun.
//   - A key that the caller chose is claimed by creating a record in the key-value
//     service before the call is sent; only the entry with the claim sends it. Each
//     claim has its own id, so that an entry whose write succeeded but whose reply was
//     lost recognizes its own claim.
//
// # When NotRun is given
//
// For a call without a key, NotRun refers to that call alone: no send of it can have
// reached a backend server.
//
// For a key it is a stronger guarantee: there is a moment t, between the acceptance of
// the attempt and its answer, such that no attempt with that key that any entry accepted
// up to t has run or ever will. A caller with one attempt at a time can therefore take
// NotRun as final for all its attempts so far. Attempts that it starts later may run;
// NotRun tells it that such a retry is safe. Five rules ensure the guarantee:
//
//  1. Only the key's single sender gives NotRun: the home, or the holder of the claim.
//     An entry that merely forwards answers MayHaveRun even if the home refused the
//     connection, since another entry may have forwarded the key before. The same holds
//     for every refusal before the single sender was asked (see AtLeastMayHaveRun).
//
//  2. The single sender gives it only if none of its sends can have run and none is in
//     progress.
//
//  3. An attempt that was on its way while NotRun was given must not run when it
//     arrives. The home therefore keeps a tombstone with the time t of its own clock. A
//     forward carries a lower bound of the home's clock at the moment its entry accepted
//     the attempt, computed from a reading of that clock; the home refuses it if the
//     bound is not after t. Tombstones are kept for MaxAttemptAge, and older forwards
//     are refused. An inaccurate reading can cause needless refusals, but never a wrong
//     NotRun.
//
//  4. For a claimed key the revisions of the key-value service replace the clock. NotRun
//     is given only after the record was updated to StateNotRun, at revision r. An entry
//     claims such a record again only for an attempt that it accepted after it had seen
//     revision r or later.
//
//  5. An attempt counts as accepted when its entry reads it. An entry whose process was
//     stopped may read requests whose callers have already moved on to another entry, so
//     for a short time it refuses keyed requests with MayHaveRun (see
//     Config.StallThreshold). Not covered: a network that delays a request for longer
//     than its caller waits without ending the connection.
//
// A home's table is bounded by keys, bytes and time. Dropping a key early raises a lower
// limit for issue times; an unknown key issued at or before it counts as expired:
// MayHaveRun.
package call

// Package lease decides which instance holds each slot. A slot is a duty that
// must never have two holders at once: lending the limits that hash to it, and,
// for slot 0, giving orders to engines.
//
// One record in the platform's key-value service, the roster, names the
// members and the holder of each slot. It changes only by compare-and-swap, so
// its versions form one line. A holder acts only while a majority of the
// roster's members promised it, at most PromiseTerm ago on its own monotonic
// clock and counted from the moment of asking, that they know no newer roster.
// Peers agree on nothing else: there is no log and no vote. An outage of the
// service therefore changes nothing, and a holder that was paused or cut off
// stops by its own clock.
//
// # Why two instances never hold one slot
//
// A member that knows version v+1 gives no promise under v any more, and tells
// whoever asks how long the promises that it gave under older versions still
// last. Version v+1 is settled once a majority of the members of v know it and
// all the promises that these gave have lapsed. Two rules follow:
//
//  1. Version v+2 is written only after v+1 is settled. So when v+2 exists, no
//     promise under v is valid, and whoever takes a slot in v+2 only has to
//     outlast the holder named in v+1.
//  2. A new holder in v+1 acts once the former holder itself says that it knows
//     v+1 (a graceful hand-over), or once a majority of the members of v know
//     v+1 and their promises to the former holder have lapsed. Any majority
//     that still promised to the former holder shares a member with this one.
//
// Because rule 1 lets every older promise lapse, one version may add and remove
// any number of members. A member is named by VM and incarnation: a restarted
// process is a new member and never answers for promises that it can't remember.
// An instance that ended (a later incarnation of its VM is alive, or the
// platform says so) counts as knowing every version, and its promises as lasting
// one full term from the moment at which its end became known.
//
// The design is the lease of Gray and Cheriton (1989) over a majority, with the
// record of configurations kept outside, as in Vertical Paxos (Lamport, Malkhi,
// Zhou 2009).
package lease

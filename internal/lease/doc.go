// Package lease decides which instance holds each slot. A slot stands for work
// that must never have two holders at once: lending the limits that hash to the
// slot and, for slot 0, sending orders to engines. The holder of slot 0 is the leader.
//
// One record in the platform's key-value service, the roster, lists the members
// and the holder of each slot. It changes only by compare-and-swap, so its
// versions form a linear sequence. A holder acts only while it has valid promises
// from a majority of the roster's members. A member makes a promise only if it has
// the same version of the roster as the holder. The promise is valid for PromiseTerm
// on the holder's own monotonic clock, counted from the moment at which it was
// requested. Peers agree on nothing else: there is no replicated log and no
// election. Holders therefore keep their slots during an outage of the service, and
// a holder that was paused or partitioned stops by its own clock.
//
// # Why two instances never hold one slot
//
// A member that has version v+1 makes no more promises under v. It reports to
// every requester how long the promises that it made under older versions remain
// valid. Version v+1 is settled once a majority of the members of v have it and
// all their promises under older versions have expired. There are two rules:
//
//  1. Version v+2 is written only after v+1 is settled. So when v+2 exists, no
//     promise under v is valid, and an instance that takes over a slot in v+2 only
//     has to wait for the holder named in v+1.
//  2. A new holder in v+1 acts once the former holder itself reports that it has
//     v+1 (a graceful hand-over), or once a majority of the members of v have v+1
//     and their promises to the former holder have expired. Two majorities always
//     share a member, so the former holder has no majority of valid promises then.
//
// Because rule 1 lets every older promise expire, one version may add and remove
// any number of members. A member is identified by VM and incarnation: a restarted
// process is a new member and never answers for promises that it can't remember.
// An instance that ended (a later incarnation of its VM is alive, or the platform
// or an operator reported the end) counts as having every version, and its
// promises as lasting one full term from the moment at which its end became known.
//
// The design is the lease of Gray and Cheriton (1989) over a majority, with the
// record of configurations kept outside, as in Vertical Paxos (Lamport, Malkhi,
// Zhou 2009).
package lease

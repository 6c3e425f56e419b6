// Package entrylist decides which entry addresses a caller is told to use, and
// when a leaving entry may close.
//
// No balancer stands in front of the system: a caller asks any entry, keeps the
// answer for its lifetime and connects there by itself. So an entry may be named
// only for as long as it will surely be open. That is settled by grants: before
// VM A names VM B, B has granted "I stay open for at least this long". The term
// counts from the moment at which A asked, on A's own monotonic clock, so delay,
// loss and clock offsets only shorten it. An answer that names B lasts no longer
// than B's grant.
//
// A leaving entry grants nothing more, tells its peers, and vanishes from its own
// answers at once. It goes on serving until every grant it gave and every answer
// of its own has expired, then until its last stream has ended. No peer has to
// acknowledge anything: a peer that was cut off stops naming the entry by its own
// clock, before the entry closes.
//
// A fleet larger than Peers is named in part: each VM holds grants of a bounded
// set of peers, spread over the failure domains, and each team gets the addresses
// of that set that rank highest for it (rendezvous hashing).
package entrylist

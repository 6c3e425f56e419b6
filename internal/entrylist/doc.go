// Package entrylist decides which entry addresses are given to callers, and when a
// leaving entry may close.
//
// There is no load balancer in front of the system: a caller requests a list of
// addresses from any entry, keeps it for its lifetime and connects to those addresses
// directly. An entry may therefore be listed only for as long as it is certain to be
// open. Grants ensure this: before VM A lists VM B, B has granted to stay open for at
// least a given term. The term counts from the moment at which A requested it, on A's
// own monotonic clock, so delay, loss and clock offsets only shorten it. A list that
// contains B expires no later than B's grant.
//
// A leaving entry makes no more grants, informs its peers, and is omitted from its own
// replies at once. It accepts requests until every grant that it made and every list
// that it issued has expired, and stops when its last request or stream has ended. No
// peer has to acknowledge anything: a partitioned peer stops listing the entry by its own
// clock, before the entry closes.
//
// If there are more peers than MaxPeers, each VM holds grants of a bounded set of them,
// spread over the failure domains. Each team gets the addresses of that set that rank
// highest for it (rendezvous hashing).
package entrylist

// Package classes decides which requests go first while the capacity of a service is short,
// from the priorities, objectives and deadlines of the configuration.
//
// A class is one of the different priorities of a service's routes and teams; rank 0 is the
// most urgent one. The package acts only on services with more than one class.
//
// While capacity is short, new requests leave a part of each server's KV cache and slots
// free for streams that run or move, the less urgent the larger the part (trunk
// reservation). A kind, team or size class whose served share falls under its floor gets
// the bound of the most urgent class. A request without capacity waits as long as it can
// still meet its objective, by class, then teams below their fair share first, then by
// remaining slack. Refused callers come back when the capacity that was seen to come free
// has room for them.
//
// All state is this VM's own, decays within seconds and is bounded.
package classes

// Package standin holds small stand-ins for everything outside the product:
// the key-value service, the VM list, the weight store, model engines and
// applications. They speak the protocols of internal/adapter over HTTP on
// loopback addresses, and every fault that the product has to live with can be
// switched on and off by a call. They are for tests and the bench only.
//
// Start brings up a whole Topology in one process; each engine stage and each
// application replica has a listener of its own.
package standin

// Package standin implements stand-ins for every external system: the key-value
// service, the VM list, the weight store, model engines and applications. They
// serve the protocols of internal/adapter over HTTP on loopback addresses. Faults
// are injected and removed by HTTP requests. The package is for tests and
// benchmarks only.
//
// Start runs all stand-ins of a Topology in one process; each engine stage and each
// application replica has its own listener.
package standin

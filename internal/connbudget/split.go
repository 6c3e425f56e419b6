package connbudget

// Duty is what a connection is for.
type Duty string

// The duties. Backends and Control are outgoing connections: to backend servers, and to the
// store and other VMs.
const (
	Callers   Duty = "callers"
	PassedOn  Duty = "passed on"
	Peers     Duty = "peers"
	Readiness Duty = "readiness"
	Directory Duty = "directory"
	Metrics   Duty = "metrics"
	Backends  Duty = "backend servers"
	Control   Duty = "control"
)

const (
	// DefaultDescriptors is used if the VM's limit is unknown.
	DefaultDescriptors = 4096
	// fileDescriptors of the limit are not for connections; of low limits a half at most.
	fileDescriptors = 200
	// callerMemoryShare is the share of the VM's memory for the buffers of callers'
	// connections.
	callerMemoryShare = 0.3
	bytesPerMB        = 1e6
)

// shares of the descriptors for connections. A duty never takes what is another's.
var shares = map[Duty]float64{Callers: 0.45, PassedOn: 0.07, Peers: 0.05, Readiness: 0.02, Directory: 0.08, Metrics: 0.01, Backends: 0.28, Control: 0.04}

// minConnections is the least limit of a duty.
const minConnections = 2

// Split returns the limits of all duties, in connections, of a VM with a number of descriptors
// and memory in MB, 0 for unknown. connBytes is what a caller's connection holds, in bytes.
func Split(descriptors, memoryMB, connBytes int) map[Duty]int {
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	sockets := descriptors - min(fileDescriptors, descriptors/2)
	limits := make(map[Duty]int, len(shares))
	for duty, share := range shares {
		limits[duty] = max(minConnections, int(share*float64(sockets)))
	}
	if memoryMB > 0 {
		affordable := int(callerMemoryShare * bytesPerMB * float64(memoryMB) / float64(connBytes))
		limits[Callers] = max(minConnections, min(limits[Callers], affordable))
	}
	return limits
}

package connbudget

// Duty is what a connection is for.
type Duty string

// The duties. Backends and Control are outgoing connections: to backend servers, and to the
// store and other VMs. Admin is that of catkin-control's administration server, which has no
// share of Split.
const (
	Callers   Duty = "callers"
	PassedOn  Duty = "passed on"
	Peers     Duty = "peers"
	Readiness Duty = "readiness"
	Directory Duty = "directory"
	Metrics   Duty = "metrics"
	Backends  Duty = "backend servers"
	Control   Duty = "control"
	Admin     Duty = "administration"
)

const (
	// DefaultDescriptors is used if the VM's limit is unknown.
	DefaultDescriptors = 4096
	// fileDescriptors of the limit are not for connections; of low limits a half at most.
	fileDescriptors = 200
	bytesPerMB      = 1e6
)

// memoryShares are the shares of the VM's memory for the buffers of the connections of duties on
// which requests to backend servers arrive.
var memoryShares = map[Duty]float64{Callers: 0.3, PassedOn: 0.08}

// shares of the descriptors for connections. A duty never takes what is another's.
var shares = map[Duty]float64{Callers: 0.45, PassedOn: 0.07, Peers: 0.05, Readiness: 0.02, Directory: 0.08, Metrics: 0.01, Backends: 0.28, Control: 0.04}

// minConnections is the least limit of a duty.
const minConnections = 2

// Split returns the limits of all duties, in connections, of a VM with a number of descriptors
// and memory in MB, 0 for unknown. connBytes is what a connection of a caller or of a request that was passed on holds, in bytes.
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
		for duty, share := range memoryShares {
			affordable := int(share * bytesPerMB * float64(memoryMB) / float64(connBytes))
			limits[duty] = max(minConnections, min(limits[duty], affordable))
		}
	}
	return limits
}

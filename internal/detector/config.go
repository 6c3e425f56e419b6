package detector

import "time"

// Config holds the settings of a Core.
type Config struct {
	// Watchers is the number of VMs that keep a watch connection to a server. Default 3.
	Watchers int
	// AnswerTimeout is how long a try waits for an answer to its connection request. A lost
	// packet is sent again only after a second, so a longer wait shows nothing more. Default
	// 25 ms.
	AnswerTimeout time.Duration
	// LateResult is how much later than AnswerTimeout the result of a try may be known. A
	// later one shows that this VM did not run meanwhile, and is not counted. Default 10 ms.
	LateResult time.Duration
	// DarkTries is the number of unanswered tries after which a server is dark. With a packet
	// loss of 2.5% each way, 5% of the tries to a server that is up are unanswered, so two
	// tries would err once in 400 checks. Default 3.
	DarkTries int
	// TryInterval is the time between tries without an answer. Default 5 ms.
	TryInterval time.Duration
	// RefusedInterval is the time from a refused try to the one that confirms it. Default
	// 5 ms.
	RefusedInterval time.Duration
	// WatchMemory is how long after a watch connection closed a check may begin for which one
	// refused try is enough.
	// Default 50 ms.
	WatchMemory time.Duration
	// ProgressDelay is how long after the first try an event of a stream through the server
	// has to arrive to show that the server is not dark. Earlier ones may have left the
	// server before. Silence starts no check of a server with an event that is less old.
	// Default 20 ms.
	ProgressDelay time.Duration
	// WitnessTries bounds the servers that are asked to be a witness of a check. Default 3.
	WitnessTries int
	// SameDomainWitnesses is how many of them are in the failure domain of the checked
	// server, if it has so many: links to one failure domain may be cut. Default 2.
	SameDomainWitnesses int
	// WitnessMemory is how long a server that did not answer is not asked again. Default 1 s.
	WitnessMemory time.Duration
	// ChecksPerSecond and CheckBurst bound the checks of this VM. Defaults 50 and 50.
	ChecksPerSecond, CheckBurst float64
	// WeakChecksPerSecond and WeakCheckBurst bound those by weak evidence alone (silence,
	// refused requests): on links that lose packets it arrives all the time. Defaults 20 and
	// 25.
	WeakChecksPerSecond, WeakCheckBurst float64
	// FleetWeakChecksPerSecond bounds the checks by weak evidence of all VMs together; each has
	// an equal part. Under overload streams are silent all the time: 86 VMs with 20 checks a
	// second each opened three connections for each request. Default 600.
	FleetWeakChecksPerSecond float64
	// ServerInterval is the mean time between two checks of one server, ServerBurst the
	// number of checks that may follow each other at once. Defaults 250 ms and 2.
	ServerInterval time.Duration
	ServerBurst    float64
	// MaxServerInterval bounds the interval of checks by weak evidence, which doubles with
	// each check that finds the server alive. Default 1 s.
	MaxServerInterval time.Duration
	// MaxWait is how long evidence waits for a check that the budget does not allow. Default
	// 500 ms.
	MaxWait time.Duration
	// NeighborWait is the same for another VM's finding; then this VM acts on the finding if
	// its links are up. Default 60 ms.
	NeighborWait time.Duration
	// MaxInconclusive is the number of tries without a usable result that ends a check.
	// Default 3.
	MaxInconclusive int
	// MaxChecks bounds the checks in progress or waiting, MaxServers the servers of which
	// something is remembered. Defaults 256 and 4096.
	MaxChecks, MaxServers int
	// SettleTime is how long streams stay after a verdict of loss, and up to twice that while
	// other servers refuse connections: servers that fail together are left together. Streams
	// that moved at once moved to the next lost server. Default 4 ms.
	SettleTime time.Duration
	// LostMemory is how long a verdict of loss holds: evidence about the same incarnation
	// starts no check. Default 2 s.
	LostMemory time.Duration
	// MessagesPerSecond and MessageBurst bound the messages to all VMs. Findings beyond it
	// go with the load messages only. Defaults 1 and 4: at 330 VMs a message to all takes
	// 20 KB, and control may use 10 KB/s.
	MessagesPerSecond, MessageBurst float64
	// MessageInterval is the time between two messages, which collects the findings of
	// servers that fail together. Default 4 ms.
	MessageInterval time.Duration
	// Pace holds the settings of the pauses of streams.
	Pace PaceConfig
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{
		Watchers: 3, AnswerTimeout: 25 * time.Millisecond, LateResult: 10 * time.Millisecond, DarkTries: 3, TryInterval: 5 * time.Millisecond,
		RefusedInterval: 5 * time.Millisecond, WatchMemory: 50 * time.Millisecond, ProgressDelay: 20 * time.Millisecond,
		WitnessTries: 3, SameDomainWitnesses: 2, WitnessMemory: time.Second,
		ChecksPerSecond: 50, CheckBurst: 50, WeakChecksPerSecond: 20, WeakCheckBurst: 25, FleetWeakChecksPerSecond: 600, ServerInterval: 250 * time.Millisecond, ServerBurst: 2, MaxServerInterval: time.Second,
		MaxWait: 500 * time.Millisecond, NeighborWait: 60 * time.Millisecond, MaxInconclusive: 3, MaxChecks: 256, MaxServers: 4096,
		SettleTime: 4 * time.Millisecond, LostMemory: 2 * time.Second, MessagesPerSecond: 1, MessageBurst: 4, MessageInterval: 4 * time.Millisecond,
		Pace: DefaultPaceConfig(),
	}
}

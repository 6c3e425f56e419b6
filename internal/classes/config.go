package classes

import "time"

// Config holds the settings of a Core.
type Config struct {
	// MoveReserve is the share of each server's KV cache and slots that new requests of
	// every class leave free for streams that run or move, while capacity is short. Default
	// 0.01.
	MoveReserve float64
	// ClassReserve is the further share that the least urgent class leaves free; classes in
	// between leave a proportional part. In simulation (dispatch/classes_sim_test.go) 0.3 costs
	// all kinds together more than it gives the most urgent one, and without it that one is
	// served no better than the others. Default 0.1.
	ClassReserve float64
	// ReturnReserve multiplies what a caller's class leaves free when the caller comes back
	// after a refusal. Default 0.3.
	ReturnReserve float64
	// TeamReserve is the further share that a team leaves free while it uses more than
	// TeamExcess times its fair share. Defaults 0.05 and 2.
	TeamReserve, TeamExcess float64
	// ShortFrom and ShortAt are the used shares of the usable KV cache or slots, at the
	// layers with the least, from which capacity begins to be short and is fully short.
	// Defaults 0.75 and 0.92.
	ShortFrom, ShortAt float64
	// MissesAtShort is the share of requests without capacity at their first try at which
	// capacity is fully short. Default 0.1.
	MissesAtShort float64
	// FloorShare is the floor of the served share of a kind, team or size class, relative to
	// that of all requests of the service. The required floor is 0.25; the rule acts from
	// 0.4, since a served share is known only after some requests were refused. Default 0.4.
	FloorShare float64
	// MinOffered is the least number of recent requests of a kind, team or size class for
	// which a floor is judged. Default 3.
	MinOffered float64
	// Window is the time constant of all averages. Default 4 s.
	Window time.Duration
	// MaxTeams bounds the teams of a service with statistics of their own. Default 2048.
	MaxTeams int
	// MaxWaiting and MaxWaitingBytes bound the requests that wait, and their bodies. Defaults
	// 64 and 4 MB.
	MaxWaiting      int
	MaxWaitingBytes int
	// MaxWait bounds every wait. Without it, a less urgent kind with a longer objective tries
	// longer and is served more often than a more urgent one. Default 300 ms.
	MaxWait time.Duration
	// UnknownWait is the longest wait while the time to the first token is not known from
	// recent requests. It is dispatch.WaitQueueConfig's MaxWait. Default 150 ms.
	UnknownWait time.Duration
	// MinRetryAfter is the least Retry-After. Default 400 ms, longer than the time in which
	// a VM learns the loads of the others.
	MinRetryAfter time.Duration
	// ReturnShare is the share of the capacity that comes free which is planned for refused
	// callers that come back; the smaller, the later they do. In simulation
	// (dispatch/classes_sim_test.go) 0.5 brings them back into the same shortage. Default 0.12.
	ReturnShare float64
	// MaxTimeLeftShare bounds Retry-After to a share of the time that the caller has left;
	// callers do not wait longer. Default 1/3.
	MaxTimeLeftShare float64
}

// DefaultConfig returns the defaults documented on Config.
func DefaultConfig() Config {
	return Config{MoveReserve: 0.01, ClassReserve: 0.1, ReturnReserve: 0.3, TeamReserve: 0.05, TeamExcess: 2, ShortFrom: 0.75, ShortAt: 0.92, MissesAtShort: 0.1,
		FloorShare: 0.4, MinOffered: 3, Window: 4 * time.Second, MaxTeams: 2048, MaxWaiting: 64, MaxWaitingBytes: 4 << 20,
		MaxWait: 300 * time.Millisecond, UnknownWait: 150 * time.Millisecond, MinRetryAfter: 400 * time.Millisecond, ReturnShare: 0.12, MaxTimeLeftShare: 1.0 / 3}
}

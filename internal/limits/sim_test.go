package limits

import (
	"fmt"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/memnet"
	"github.com/stretchr/testify/require"
)

const (
	simTick  = 10 * time.Millisecond
	simDrift = 0.01
)

var simKey = Key{Team: "club", Service: "skrivar", Unit: UnitRequests}

// conformance checks the bound for all windows at once: the amount admitted in every
// window is at most rate*w + burst if and only if the excess over the rate never exceeds
// the burst.
type conformance struct {
	rate, burst          float64
	at                   time.Duration
	excess, maxOvershoot float64
	total                int64
}

func (c *conformance) drain(now time.Duration) {
	c.excess = max(0, c.excess-c.rate*(now-c.at).Seconds())
	c.at = now
}

func (c *conformance) admit(now time.Duration, n int64) {
	c.drain(now)
	c.excess += float64(n)
	c.maxOvershoot = max(c.maxOvershoot, c.excess-c.burst)
	c.total += n
}

// admitter is the policy under test on one VM.
type admitter interface {
	take(now time.Duration, n int64) bool
	step(now time.Duration, ev any) (refilled bool)
}

// entryVM simulates the request arrivals and the wait queue of one VM.
type entryVM struct {
	host            memnet.Host
	policy          admitter
	clockRate       float64
	startedAt       time.Duration
	demand          float64
	pendingArrivals float64
	queue           []time.Duration
}

func (v *entryVM) localTime(now time.Duration) time.Duration {
	return time.Duration(float64(now-v.startedAt)*v.clockRate) + time.Second
}

// fleet runs entry VMs under a policy over memnet in virtual time.
type fleet struct {
	t              require.TestingT
	net            *memnet.Net
	vms            []*entryVM
	check          conformance
	requestSize    int64
	admittedPerBin []int64 // indexed by time in units of fleetBin
	maxWait        time.Duration
	drift          bool
}

const fleetBin = 100 * time.Millisecond

func newFleet(t require.TestingT, seed uint64, rate float64, loss float64) *fleet {
	f := &fleet{
		t: t, requestSize: 1, maxWait: 500 * time.Millisecond,
		net: memnet.New(memnet.Config{Seed: seed, MinDelay: 200 * time.Microsecond, MaxDelay: 3 * time.Millisecond, Loss: loss, Duplicate: loss}),
	}
	cfg := DefaultLenderConfig()
	f.check = conformance{rate: rate * (1 + simDrift), burst: cfg.burst(Limit{Key: simKey, Rate: rate})}
	return f
}

func (f *fleet) add(host memnet.Host, policy admitter) *entryVM {
	v := &entryVM{host: host, policy: policy, clockRate: 1, startedAt: f.net.Now()}
	if f.drift {
		v.clockRate = 1 - simDrift + 2*simDrift*f.net.Rand().Float64()
	}
	f.vms = append(f.vms, v)
	f.join(v)
	return v
}

func (f *fleet) join(v *entryVM) {
	f.net.Join(v.host, func(now time.Duration, _ memnet.Host, payload any) { f.receive(v, now, payload) })
	f.net.After(v.host, time.Duration(f.net.Rand().Int64N(int64(simTick))), v)
}

func (f *fleet) receive(v *entryVM, now time.Duration, payload any) {
	if payload == v {
		f.net.After(v.host, simTick, v)
		f.arrive(v, now)
		payload = Tick{}
	} else if _, isTimer := payload.(*entryVM); isTimer {
		return // timer of the previous process of this VM
	}
	if v.policy.step(v.localTime(now), payload) {
		f.drainQueue(v, now)
	}
}

// arrive generates the requests of one tick.
func (f *fleet) arrive(v *entryVM, now time.Duration) {
	v.pendingArrivals += v.demand * simTick.Seconds() * (0.5 + f.net.Rand().Float64())
	for ; v.pendingArrivals >= float64(f.requestSize); v.pendingArrivals -= float64(f.requestSize) {
		if !f.take(v, now) {
			v.queue = append(v.queue, now)
		}
	}
	for len(v.queue) > 0 && v.queue[0]+f.maxWait < now {
		v.queue = v.queue[1:]
	}
}

func (f *fleet) drainQueue(v *entryVM, now time.Duration) {
	for len(v.queue) > 0 && f.take(v, now) {
		v.queue = v.queue[1:]
	}
}

func (f *fleet) take(v *entryVM, now time.Duration) bool {
	if !v.policy.take(v.localTime(now), f.requestSize) {
		return false
	}
	f.check.admit(now, f.requestSize)
	bin := int(now / fleetBin)
	for len(f.admittedPerBin) <= bin {
		f.admittedPerBin = append(f.admittedPerBin, 0)
	}
	f.admittedPerBin[bin] += f.requestSize
	return true
}

func (f *fleet) run(d time.Duration) { f.net.RunUntil(f.net.Now() + d) }

// admitted returns the amount admitted in [from, to).
func (f *fleet) admitted(from, to time.Duration) int64 {
	var sum int64
	for i := int(from / fleetBin); i < int(to/fleetBin) && i < len(f.admittedPerBin); i++ {
		sum += f.admittedPerBin[i]
	}
	return sum
}

// borrowing is the policy that this package implements.
type borrowing struct {
	f    *fleet
	host memnet.Host
	core *Borrower
}

func (b *borrowing) take(now time.Duration, n int64) bool {
	return b.core.Take(now, simKey, n) == Granted
}

func (b *borrowing) step(now time.Duration, ev any) bool {
	refilled := false
	for _, a := range b.core.Step(now, ev.(Event)) {
		switch a := a.(type) {
		case SendAsk:
			b.f.net.Send(b.host, memnet.Host(a.Addr), AskReceived{Ask: a.Ask})
		case Refilled:
			refilled = true
		}
	}
	return refilled
}

// lenderVM is a control process whose slot lease is scripted.
type lenderVM struct {
	host      memnet.Host
	self      ident.Instance
	core      *Lender
	clockRate float64 // relative to true time
	// epoch is held from since to until, in true time.
	epoch        uint64
	since, until time.Duration
	now          time.Duration
}

// Holds implements SlotLeases.
func (l *lenderVM) Holds(_ time.Duration, _ int) (uint64, bool) {
	return l.epoch, l.epoch > 0 && l.now >= l.since && l.now < l.until
}

// lendingFleet is a fleet with lenders and borrowers.
type lendingFleet struct {
	*fleet
	lenders      []*lenderVM
	limits       []Limit
	epoch        uint64
	incarnations map[memnet.Host]uint64
}

const simForever = time.Duration(1 << 60)

func newLendingFleet(t require.TestingT, seed uint64, rate, loss float64, vms, lenders int) *lendingFleet {
	l := &lendingFleet{fleet: newFleet(t, seed, rate, loss), incarnations: map[memnet.Host]uint64{}}
	l.limits = []Limit{{Key: simKey, Rate: rate}}
	l.drift = true
	for i := range lenders {
		l.addLender(memnet.Host(fmt.Sprintf("control-%d", i)))
	}
	l.handOver(0, 0)
	for i := range vms {
		l.addBorrower(memnet.Host(fmt.Sprintf("entry-%03d", i)))
	}
	return l
}

type lenderTimer struct{}

func (l *lendingFleet) addLender(host memnet.Host) {
	v := &lenderVM{host: host, self: ident.Instance{VM: ident.VM(host), Incarnation: 1}}
	v.clockRate = 1 - simDrift + 2*simDrift*l.net.Rand().Float64()
	core, err := NewLender(DefaultLenderConfig(), v)
	require.NoError(l.t, err)
	v.core = core
	core.Step(0, SetLimits{Limits: l.limits})
	l.lenders = append(l.lenders, v)
	l.net.Join(host, func(now time.Duration, _ memnet.Host, payload any) {
		v.now = now
		if payload == (lenderTimer{}) {
			l.net.After(host, simTick, payload)
			payload = Tick{}
		}
		for _, a := range v.core.Step(time.Duration(float64(now)*v.clockRate), payload.(Event)) {
			loan := a.(SendLoan)
			l.net.Send(host, memnet.Host(loan.Addr), LoanReceived{Loan: loan.Loan})
		}
	})
	l.net.After(host, simTick, lenderTimer{})
}

// handOver ends the former holder's lease now and gives the slot to lender i after
// gap.
func (l *lendingFleet) handOver(i int, gap time.Duration) {
	now := l.net.Now()
	for _, v := range l.lenders {
		v.until = min(v.until, now)
	}
	l.epoch++
	l.lenders[i].epoch = l.epoch
	l.lenders[i].since = now + gap
	l.lenders[i].until = simForever
	l.announceHolders(now + gap)
}

// announceHolders sends the current holders to the borrowers 100 ms after the given
// time.
func (l *lendingFleet) announceHolders(at time.Duration) {
	l.net.At(at+100*time.Millisecond, func() {
		ev := l.holders()
		for _, v := range l.vms {
			l.net.Send("directory", v.host, ev)
		}
	})
}

func (l *lendingFleet) holders() Holders {
	for _, v := range l.lenders {
		if v.epoch == l.epoch {
			slots := make([]SlotHolder, DefaultLenderConfig().Slots)
			for i := range slots {
				slots[i] = SlotHolder{Holder: v.self, Addr: string(v.host), Epoch: l.epoch}
			}
			return Holders{Slots: slots}
		}
	}
	return Holders{}
}

func (l *lendingFleet) addBorrower(host memnet.Host) *entryVM {
	l.incarnations[host]++
	cfg := DefaultBorrowerConfig()
	cfg.Self = ident.Instance{VM: ident.VM(host), Incarnation: ident.Incarnation(l.incarnations[host])}
	cfg.Addr = string(host)
	cfg.Seed = l.net.Rand().Uint64()
	core, err := NewBorrower(cfg)
	require.NoError(l.t, err)
	core.Step(0, l.holders())
	return l.add(host, &borrowing{f: l.fleet, host: host, core: core})
}

// replace kills the VM's process and starts a new one with the same demand after the
// given time.
func (l *lendingFleet) replace(v *entryVM, after time.Duration) {
	l.net.Kill(v.host)
	l.net.At(l.net.Now()+after, func() { l.addBorrower(v.host).demand = v.demand })
}

func (l *lendingFleet) raise(rate float64) {
	now := l.net.Now()
	l.limits = []Limit{{Key: simKey, Rate: rate}}
	l.check.drain(now)
	l.check.rate = rate * (1 + simDrift)
	l.check.burst = DefaultLenderConfig().burst(l.limits[0])
	for _, v := range l.lenders {
		v.now = now
		v.core.Step(time.Duration(float64(now)*v.clockRate), SetLimits{Limits: l.limits})
	}
}

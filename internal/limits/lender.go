package limits

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// evictionInterval is the interval between removals of idle borrowers.
const evictionInterval = 5 * time.Second

// SlotLeases reports whether this process holds a slot at a given time, and in which
// epoch. *lease.Core implements it.
type SlotLeases interface {
	Holds(now time.Duration, slot int) (epoch uint64, ok bool)
}

// Lender lends units of the limits whose slots this process holds. It is not safe for
// concurrent use.
type Lender struct {
	cfg    LenderConfig
	leases SlotLeases
	limits map[Key]Limit
	slots  []heldSlot
	// pendingLoans holds the replies until the next division, in the order of their
	// asks.
	pendingLoans []pendingLoan
	divideAt     time.Duration
	nextEviction time.Duration
}

// heldSlot is the state of one held slot.
type heldSlot struct {
	epoch   uint64
	buckets map[Key]*bucket
	// pendingBuckets holds the buckets with pending asks, in the order of their asks.
	pendingBuckets []*bucket
}

// pendingLoan is the reply to an ask before the division fills it in.
type pendingLoan struct {
	addr string
	loan *Loan
}

// NewLender returns a lender without limits; a SetLimits event adds them.
func NewLender(cfg LenderConfig, leases SlotLeases) (*Lender, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Lender{cfg: cfg, leases: leases, limits: map[Key]Limit{}, slots: make([]heldSlot, cfg.Slots)}, nil
}

// Step processes one event at time now and returns the actions to perform.
func (l *Lender) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case SetLimits:
		l.setLimits(now, ev.Limits)
	case AskReceived:
		l.addAsk(now, ev.Ask)
	case Tick:
		l.refreshSlots(now)
		l.evictIdle(now)
	}
	if len(l.pendingLoans) > 0 && now >= l.divideAt {
		return l.divide(now)
	}
	return nil
}

// setLimits raises limits at once. Each bucket is first filled at its old rate.
func (l *Lender) setLimits(now time.Duration, limits []Limit) {
	for _, limit := range limits {
		if limit.Rate > l.limits[limit.Key].Rate {
			l.limits[limit.Key] = limit
			l.raiseBucket(now, limit)
		}
	}
}

func (l *Lender) raiseBucket(now time.Duration, limit Limit) {
	s := &l.slots[limit.Key.Slot(l.cfg.Slots)]
	if s.buckets == nil {
		return
	}
	b := s.buckets[limit.Key]
	if b == nil {
		s.buckets[limit.Key] = l.newBucket(now, limit)
		return
	}
	b.fill(now)
	b.rate = limit.Rate
	b.burst = l.cfg.burst(limit)
}

// refreshSlots opens each slot that this process has come to hold in a new epoch.
func (l *Lender) refreshSlots(now time.Duration) {
	for slot := range l.slots {
		if epoch, ok := l.leases.Holds(now, slot); ok && epoch != l.slots[slot].epoch {
			l.openSlot(now, slot, epoch)
		}
	}
}

// openSlot creates buckets, empty as of now, for all limits of the slot.
func (l *Lender) openSlot(now time.Duration, slot int, epoch uint64) {
	s := &l.slots[slot]
	*s = heldSlot{epoch: epoch, buckets: map[Key]*bucket{}}
	for key, limit := range l.limits {
		if key.Slot(l.cfg.Slots) == slot {
			s.buckets[key] = l.newBucket(now, limit)
		}
	}
}

func (l *Lender) newBucket(now time.Duration, limit Limit) *bucket {
	b := &bucket{
		rate:           limit.Rate,
		burst:          l.cfg.burst(limit),
		filledAt:       now,
		halfBurstUntil: now + l.cfg.loanLifetime(),
		byInstance:     map[ident.Instance]*borrowerState{},
	}
	b.recountOutstanding(now)
	return b
}

// addAsk adds an ask to those that the next division answers.
func (l *Lender) addAsk(now time.Duration, ask Ask) {
	loan := &Loan{To: ask.From, Seq: ask.Seq}
	loan.Items = make([]LoanItem, len(ask.Items))
	for i, item := range ask.Items {
		loan.Items[i].Index = i
		l.addAskItem(now, ask, item, loan, i)
	}
	if len(l.pendingLoans) == 0 {
		l.divideAt = now + l.cfg.DivideEvery
	}
	l.pendingLoans = append(l.pendingLoans, pendingLoan{addr: ask.Addr, loan: loan})
}

func (l *Lender) addAskItem(now time.Duration, ask Ask, item AskItem, loan *Loan, index int) {
	slot := item.Key.Slot(l.cfg.Slots)
	epoch, ok := l.leases.Holds(now, slot)
	if !ok || epoch != item.Epoch {
		loan.Items[index].Refused = CauseNotHolder
		return
	}
	s := &l.slots[slot]
	if s.epoch != epoch {
		l.openSlot(now, slot, epoch)
	}
	loan.Items[index].Epoch = epoch
	b := s.buckets[item.Key]
	if b == nil {
		loan.Items[index].Refused = verdict.CauseNoLimit
		return
	}
	bs := b.borrowerState(ask.From)
	if ask.Seq <= bs.seq {
		return
	}
	b.applyReport(now, bs, ask, item, l.cfg.loanLifetime())
	if len(b.pending) == 0 {
		s.pendingBuckets = append(s.pendingBuckets, b)
	}
	b.pending = append(b.pending, pendingAsk{borrowerState: bs, reply: loan, index: index})
}

func (b *bucket) borrowerState(instance ident.Instance) *borrowerState {
	bs := b.byInstance[instance]
	if bs == nil {
		bs = &borrowerState{id: instance}
		b.byInstance[instance] = bs
		b.borrowers = append(b.borrowers, bs)
	}
	return bs
}

// divide answers all pending asks. A slot that was lost since its ask lends nothing.
func (l *Lender) divide(now time.Duration) []Action {
	for slot := range l.slots {
		l.divideSlot(now, slot)
	}
	out := make([]Action, 0, len(l.pendingLoans))
	for _, pending := range l.pendingLoans {
		out = append(out, SendLoan{To: pending.loan.To, Addr: pending.addr, Loan: *pending.loan})
	}
	l.pendingLoans = l.pendingLoans[:0]
	return out
}

func (l *Lender) divideSlot(now time.Duration, slot int) {
	s := &l.slots[slot]
	if len(s.pendingBuckets) == 0 {
		return
	}
	epoch, ok := l.leases.Holds(now, slot)
	for _, b := range s.pendingBuckets {
		if ok && epoch == s.epoch {
			b.divide(now, l.cfg)
		}
		b.pending = b.pending[:0]
	}
	s.pendingBuckets = s.pendingBuckets[:0]
}

func (l *Lender) evictIdle(now time.Duration) {
	if now < l.nextEviction {
		return
	}
	l.nextEviction = now + evictionInterval
	for slot := range l.slots {
		for _, b := range l.slots[slot].buckets {
			b.evictIdle(now, 2*l.cfg.loanLifetime())
		}
	}
}

// Limits returns all limits, sorted by key.
func (l *Lender) Limits() []Limit {
	out := make([]Limit, 0, len(l.limits))
	for _, limit := range l.limits {
		out = append(out, limit)
	}
	slices.SortFunc(out, func(a, b Limit) int { return compareKeys(a.Key, b.Key) })
	return out
}

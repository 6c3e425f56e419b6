package limits

import (
	"slices"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
)

// forgetEvery is the time between two sweeps for borrowers that went away.
const forgetEvery = 5 * time.Second

// SlotHolds tells whether this process holds a slot at a moment, and in which
// epoch; *lease.Core is one.
type SlotLeases interface {
	Holds(now time.Duration, slot int) (epoch uint64, ok bool)
}

// Lender lends the limits of the slots that this process holds. It is used from
// one goroutine.
type Lender struct {
	cfg    LenderConfig
	holds  SlotLeases
	limits map[Key]Limit
	slots  []lenderSlot
	// replies are the loans being gathered, in the order of their asks.
	replies    []gathered
	divideAt   time.Duration
	nextForget time.Duration
}

// lenderSlot is the state of one held slot.
type lenderSlot struct {
	epoch   uint64
	buckets map[Key]*bucket
	// touched are the buckets with pending asks, in the order of their asks.
	touched []*bucket
}

type gathered struct {
	addr string
	loan *Loan
}

// NewLender returns a lender that knows no limits.
func NewLender(cfg LenderConfig, holds SlotLeases) (*Lender, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Lender{cfg: cfg, holds: holds, limits: map[Key]Limit{}, slots: make([]lenderSlot, cfg.Slots)}, nil
}

// Step takes one event in at time now and returns what is to be done.
func (l *Lender) Step(now time.Duration, ev Event) []Action {
	switch ev := ev.(type) {
	case SetLimits:
		l.setLimits(now, ev.Limits)
	case AskReceived:
		l.gather(now, ev.Ask)
	case Tick:
		l.checkSlots(now)
		l.forget(now)
	}
	if len(l.replies) > 0 && now >= l.divideAt {
		return l.divide(now)
	}
	return nil
}

// setLimits raises limits at once: what was filled so far was filled at the
// old rate.
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

// checkSlots notices slots that came or went. A slot that came starts with
// empty buckets at this moment.
func (l *Lender) checkSlots(now time.Duration) {
	for slot := range l.slots {
		if epoch, ok := l.holds.Holds(now, slot); ok && epoch != l.slots[slot].epoch {
			l.openSlot(now, slot, epoch)
		}
	}
}

// openSlot makes empty buckets for all limits of the slot.
func (l *Lender) openSlot(now time.Duration, slot int, epoch uint64) {
	s := &l.slots[slot]
	*s = lenderSlot{epoch: epoch, buckets: map[Key]*bucket{}}
	for key, limit := range l.limits {
		if key.Slot(l.cfg.Slots) == slot {
			s.buckets[key] = l.newBucket(now, limit)
		}
	}
}

func (l *Lender) newBucket(now time.Duration, limit Limit) *bucket {
	b := &bucket{
		rate:          limit.Rate,
		burst:         l.cfg.burst(limit),
		at:            now,
		cautiousUntil: now + l.cfg.loanLife(),
		byInstance:    map[ident.Instance]*debtor{},
	}
	b.recount(now)
	return b
}

// gather notes an ask's items for the next division.
func (l *Lender) gather(now time.Duration, ask Ask) {
	loan := &Loan{To: ask.From, Seq: ask.Seq}
	loan.Items = make([]LoanItem, len(ask.Items))
	for i, item := range ask.Items {
		loan.Items[i].Index = i
		l.gatherItem(now, ask, item, loan, i)
	}
	if len(l.replies) == 0 {
		l.divideAt = now + l.cfg.DivideEvery
	}
	l.replies = append(l.replies, gathered{addr: ask.Addr, loan: loan})
}

func (l *Lender) gatherItem(now time.Duration, ask Ask, item AskItem, loan *Loan, index int) {
	slot := item.Key.Slot(l.cfg.Slots)
	epoch, ok := l.holds.Holds(now, slot)
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
	d := b.debtor(ask.From)
	if ask.Seq <= d.seq {
		return
	}
	b.report(now, d, ask, item, l.cfg.loanLife())
	if len(b.pending) == 0 {
		s.touched = append(s.touched, b)
	}
	b.pending = append(b.pending, pendingAsk{debtor: d, reply: loan, index: index})
}

func (b *bucket) debtor(in ident.Instance) *debtor {
	d := b.byInstance[in]
	if d == nil {
		d = &debtor{self: in}
		b.byInstance[in] = d
		b.debtors = append(b.debtors, d)
	}
	return d
}

// divide lends to all gathered asks. A slot lost meanwhile lends nothing.
func (l *Lender) divide(now time.Duration) []Action {
	for slot := range l.slots {
		l.divideSlot(now, slot)
	}
	out := make([]Action, 0, len(l.replies))
	for _, g := range l.replies {
		out = append(out, SendLoan{To: g.loan.To, Addr: g.addr, Loan: *g.loan})
	}
	l.replies = l.replies[:0]
	return out
}

func (l *Lender) divideSlot(now time.Duration, slot int) {
	s := &l.slots[slot]
	if len(s.touched) == 0 {
		return
	}
	epoch, ok := l.holds.Holds(now, slot)
	for _, b := range s.touched {
		if ok && epoch == s.epoch {
			b.divide(now, l.cfg)
		}
		b.pending = b.pending[:0]
	}
	s.touched = s.touched[:0]
}

func (l *Lender) forget(now time.Duration) {
	if now < l.nextForget {
		return
	}
	l.nextForget = now + forgetEvery
	for slot := range l.slots {
		for _, b := range l.slots[slot].buckets {
			b.forget(now, 2*l.cfg.loanLife())
		}
	}
}

// Rates lists the limits known, sorted, for display.
func (l *Lender) Limits() []Limit {
	out := make([]Limit, 0, len(l.limits))
	for _, limit := range l.limits {
		out = append(out, limit)
	}
	slices.SortFunc(out, func(a, b Limit) int { return compareKeys(a.Key, b.Key) })
	return out
}

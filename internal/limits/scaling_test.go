package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// scalingFleet connects borrowers and lenders directly, without a network, and counts
// messages, CBOR bytes and CPU time on each side.
type scalingFleet struct {
	lenders   []*Lender
	borrowers []*Borrower
	keys      []Key
	rng       *rand.Rand
	waiting   []map[Key]int64

	asks, loans, askBytes, loanBytes   int64
	lenderTime, borrowerTime, takeTime time.Duration
	takes                              int64
}

type staticLeases map[int]bool

func (h staticLeases) Holds(_ time.Duration, slot int) (uint64, bool) { return 1, h[slot] }

// newScalingFleet spreads 64 slots over the lenders. Each VM serves 16 requests per
// second spread over the teams; each takes one request and 340 tokens.
func newScalingFleet(b *testing.B, vms, lenders, teams int) *scalingFleet {
	f := &scalingFleet{rng: rand.New(rand.NewPCG(1, 2))}
	slots := make([]SlotHolder, 64)
	held := make([]staticLeases, lenders)
	for i := range held {
		held[i] = staticLeases{}
	}
	for i := range slots {
		held[i%lenders][i] = true
		name := ident.VM(fmt.Sprintf("bergen-a-%03d", i%lenders))
		slots[i] = SlotHolder{Holder: ident.Instance{VM: name, Incarnation: 1}, Addr: string(rune('0' + i%lenders)), Epoch: 1}
	}
	var limits []Limit
	for i := range teams {
		requests := Key{Team: ident.Team(fmt.Sprintf("team-%04d", i)), Service: ident.Service(fmt.Sprintf("model-%02d", i%18)), Unit: UnitRequests}
		tokens := requests
		tokens.Unit = UnitTokens
		f.keys = append(f.keys, requests)
		perTeam := 2 * 16 * float64(vms) / float64(teams)
		limits = append(limits, Limit{Key: requests, Rate: perTeam}, Limit{Key: tokens, Rate: 340 * perTeam})
	}
	for _, h := range held {
		l, err := NewLender(DefaultLenderConfig(), h)
		require.NoError(b, err)
		l.Step(0, SetLimits{Limits: limits})
		l.Step(0, Tick{})
		f.lenders = append(f.lenders, l)
	}
	for i := range vms {
		cfg := DefaultBorrowerConfig()
		cfg.Self = ident.Instance{VM: ident.VM(fmt.Sprintf("bergen-a-%03d", i)), Incarnation: 1764800000}
		borrower, err := NewBorrower(cfg)
		require.NoError(b, err)
		borrower.Step(0, Holders{Slots: slots})
		f.borrowers = append(f.borrowers, borrower)
		f.waiting = append(f.waiting, map[Key]int64{})
	}
	return f
}

func (f *scalingFleet) tick(b *testing.B, now time.Duration) {
	for i, borrower := range f.borrowers {
		start := time.Now()
		for f.rng.Float64() < 0.16/1.16 {
			key := f.keys[f.rng.IntN(len(f.keys))]
			f.take(now, i, key, 1)
			key.Unit = UnitTokens
			f.take(now, i, key, 340)
		}
		f.takeTime += time.Since(start)
		start = time.Now()
		actions := borrower.Step(now, Tick{})
		f.borrowerTime += time.Since(start)
		for _, a := range actions {
			ask := a.(SendAsk)
			ask.Ask.Addr = fmt.Sprint(i)
			f.asks++
			f.askBytes += cborSize(b, ask.Ask)
			f.toLender(b, now, f.lenders[ask.Addr[0]-'0'], AskReceived{Ask: ask.Ask})
		}
	}
	for _, l := range f.lenders {
		f.toLender(b, now, l, Tick{})
	}
}

func (f *scalingFleet) toLender(b *testing.B, now time.Duration, l *Lender, ev Event) {
	start := time.Now()
	actions := l.Step(now, ev)
	f.lenderTime += time.Since(start)
	for _, a := range actions {
		loan := a.(SendLoan)
		f.loans++
		f.loanBytes += cborSize(b, loan.Loan)
		var i int
		_, _ = fmt.Sscan(loan.Addr, &i)
		start := time.Now()
		refilled := f.borrowers[i].Step(now, LoanReceived{Loan: loan.Loan})
		f.borrowerTime += time.Since(start)
		for _, a := range refilled {
			f.retry(now, i, a.(Refilled).Keys)
		}
	}
}

// take takes units for one request, which waits if they aren't granted.
func (f *scalingFleet) take(now time.Duration, vm int, key Key, n int64) {
	f.takes++
	if f.borrowers[vm].Take(now, key, n) != Granted {
		f.waiting[vm][key] += n
	}
}

func (f *scalingFleet) retry(now time.Duration, vm int, keys []Key) {
	for _, key := range keys {
		n := f.waiting[vm][key]
		if n > 0 && f.borrowers[vm].Take(now, key, n) == Granted {
			delete(f.waiting[vm], key)
		}
	}
}

func cborSize(b *testing.B, v any) int64 {
	data, err := cbor.Marshal(v)
	require.NoError(b, err)
	return int64(len(data))
}

// BenchmarkScaling reports messages, bytes and CPU time per second for one lender and
// one borrower, as the fleet grows.
func BenchmarkScaling(b *testing.B) {
	const span = 10 * time.Second
	for _, vms := range []int{6, 24, 96, 330} {
		lenders := min(9, vms-1+vms%2)
		teams := 1100 * vms / 330
		b.Run(fmt.Sprintf("%d-vms-%d-lenders-%d-teams", vms, lenders, teams), func(b *testing.B) {
			for range b.N {
				f := newScalingFleet(b, vms, lenders, teams)
				for now := time.Duration(0); now < span; now += 10 * time.Millisecond {
					f.tick(b, now)
				}
				perLender := span.Seconds() * float64(lenders)
				perVM := span.Seconds() * float64(vms)
				b.ReportMetric(float64(f.asks)/perLender, "asks/s/lender")
				b.ReportMetric(float64(f.askBytes+f.loanBytes)/perLender, "B/s/lender")
				b.ReportMetric(float64(f.asks)/perVM, "asks/s/VM")
				b.ReportMetric(float64(f.askBytes+f.loanBytes)/perVM, "B/s/VM")
				b.ReportMetric(float64(f.lenderTime)/float64(f.asks), "ns/ask-lender")
				b.ReportMetric(float64(f.borrowerTime)/float64(f.asks), "ns/ask-borrower")
				b.ReportMetric(100*f.lenderTime.Seconds()/perLender, "%core/lender")
				b.ReportMetric(100*f.borrowerTime.Seconds()/perVM, "%core/borrower")
				b.ReportMetric(float64(f.takeTime)/float64(f.takes), "ns/take")
			}
		})
	}
}

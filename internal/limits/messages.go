package limits

import (
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/cespare/xxhash/v2"
)

// Unit is the unit that a limit counts.
type Unit string

// Units. Rates are in units per second.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Key identifies one limit.
type Key struct {
	Team    ident.Team    `json:"t"`
	Service ident.Service `json:"s"`
	Unit    Unit          `json:"u"`
}

// SlotOf returns the slot to which a team's limits on a service belong.
func SlotOf(team ident.Team, service ident.Service, slots int) int {
	sum := xxhash.Sum64String(string(team))*31 + xxhash.Sum64String(string(service))
	return int(sum % uint64(slots))
}

// Slot returns the slot to which the limit belongs.
func (k Key) Slot(slots int) int { return SlotOf(k.Team, k.Service, slots) }

// Limit is an accepted rate limit.
type Limit struct {
	Key Key `json:"key"`
	// Rate is in units per second.
	Rate float64 `json:"rate"`
}

// Event is an input of a Lender or a Borrower.
type Event interface{ isEvent() }

// Action is an output of a Lender or a Borrower.
type Action interface{ isAction() }

// Tick advances time. The shell sends one every 10 to 20 ms.
type Tick struct{}

// SetLimits carries all accepted limits to the lender. A higher rate takes effect at
// once; a rate below the current one is ignored because limits only grow.
type SetLimits struct {
	Limits []Limit `json:"limits"`
}

// AskReceived delivers the ask of a borrower's SendAsk to the lender.
type AskReceived struct {
	Ask Ask `json:"ask"`
}

// LoanReceived delivers the loan of a lender's SendLoan to the borrower.
type LoanReceived struct {
	Loan Loan `json:"loan"`
}

// Holders gives the borrower the current slot holders.
type Holders struct {
	// Slots is indexed by slot.
	Slots []SlotHolder `json:"slots"`
}

// SlotHolder identifies the holder of one slot.
type SlotHolder struct {
	Holder ident.Instance `json:"holder"`
	Addr   string         `json:"addr"`
	Epoch  uint64         `json:"epoch"`
}

// Ask is a request of a borrower to one holder for loans of several limits.
type Ask struct {
	From ident.Instance `json:"from"`
	Addr string         `json:"addr,omitempty"`
	// Seq increases with each ask of this borrower. The lender ignores an ask that
	// isn't newer than the last one.
	Seq uint64 `json:"seq"`
	// OldestOpen is the Seq of the oldest ask to this holder whose answer the
	// borrower still accepts. Loans that answered earlier asks are either included
	// in Unspent or void.
	OldestOpen uint64    `json:"old"`
	Items      []AskItem `json:"items"`
}

// AskItem is the part of an ask that concerns one limit. Amounts are in its unit.
type AskItem struct {
	Key Key `json:"k"`
	// Epoch is the epoch of the slot's holder, as known to the borrower.
	Epoch uint64 `json:"e"`
	// Want is the amount asked for.
	Want int64 `json:"w,omitempty"`
	// Immediate is the part of Want that waiting requests spend on arrival.
	Immediate int64 `json:"p,omitempty"`
	// MinAmount is the smallest useful amount; 0 means 1.
	MinAmount int64 `json:"n,omitempty"`
	// Unspent is what the borrower can still spend, excluding Return.
	Unspent int64 `json:"h,omitempty"`
	// Return is the unspent amount that the borrower gives back to the lender.
	Return int64 `json:"r,omitempty"`
	// Refund is the amount by which settled counts were below their estimates.
	Refund int64 `json:"f,omitempty"`
}

// Loan answers an Ask.
type Loan struct {
	To ident.Instance `json:"to"`
	// Seq is the Seq of the ask.
	Seq   uint64     `json:"seq"`
	Items []LoanItem `json:"items"`
}

// LoanItem answers an AskItem with an amount or a refusal.
type LoanItem struct {
	// Index is the index of the AskItem in the ask.
	Index int `json:"i"`
	// Epoch is the lender's epoch of the slot.
	Epoch  uint64 `json:"e"`
	Amount int64  `json:"a,omitempty"`
	// Immediate is the part of Amount that expires after ImmediateTerm.
	Immediate int64 `json:"p,omitempty"`
	// Scarce is set if the supply didn't cover the demand.
	Scarce bool `json:"s,omitempty"`
	// Refused is set instead of an amount: CauseNoLimit if no such limit was
	// accepted, or CauseNotHolder.
	Refused verdict.Cause `json:"c,omitempty"`
}

// CauseNotHolder means that the lender doesn't hold the slot in the epoch of the
// AskItem. It is never returned to a caller.
const CauseNotHolder verdict.Cause = "not-holder"

// SendAsk makes the shell send an ask to a holder.
type SendAsk struct {
	To   ident.Instance `json:"to"`
	Addr string         `json:"addr"`
	Ask  Ask            `json:"ask"`
}

// SendLoan makes the shell send a loan to a borrower.
type SendLoan struct {
	To   ident.Instance `json:"to"`
	Addr string         `json:"addr,omitempty"`
	Loan Loan           `json:"loan"`
}

// Refilled lists the limits for which loans arrived: requests that wait for them may
// call Take again.
type Refilled struct {
	Keys []Key `json:"keys"`
}

func (Tick) isEvent()         {}
func (SetLimits) isEvent()    {}
func (AskReceived) isEvent()  {}
func (LoanReceived) isEvent() {}
func (Holders) isEvent()      {}

func (SendAsk) isAction()  {}
func (SendLoan) isAction() {}
func (Refilled) isAction() {}

package limits

import (
	"github.com/catkinstair/catkinstair/internal/ident"
	"github.com/catkinstair/catkinstair/internal/verdict"
	"github.com/cespare/xxhash/v2"
)

// Unit is what a limit counts.
type Unit string

// The units. A rate is in units per second.
const (
	UnitRequests Unit = "requests"
	UnitTokens   Unit = "tokens"
)

// Key names one limit.
type Key struct {
	Team    ident.Team    `json:"t"`
	Service ident.Service `json:"s"`
	Unit    Unit          `json:"u"`
}

// SlotOf returns the slot that a team's limits on a service belong to.
func SlotOf(team ident.Team, service ident.Service, slots int) int {
	sum := xxhash.Sum64String(string(team))*31 + xxhash.Sum64String(string(service))
	return int(sum % uint64(slots))
}

// Slot returns the slot that the limit belongs to.
func (k Key) Slot(slots int) int { return SlotOf(k.Team, k.Service, slots) }

// Limit is an accepted limit.
type Limit struct {
	Key Key `json:"key"`
	// Rate is in units per second.
	Rate float64 `json:"rate"`
}

// Event is what a Lender or a Borrower takes in.
type Event interface{ isEvent() }

// Action is what a Lender or a Borrower gives out.
type Action interface{ isAction() }

// Tick says that time has passed. Hand one in every 10 to 20 ms.
type Tick struct{}

// SetLimits tells the lender the accepted limits, all of them. A raise takes
// effect at once; a rate below the present one is ignored, for limits only grow.
type SetLimits struct {
	Limits []Limit `json:"limits"`
}

// AskReceived is a borrower's ask; it arrives as SendAsk gave it out.
type AskReceived struct {
	Ask Ask `json:"ask"`
}

// LoanReceived is a lender's answer; it arrives as SendLoan gave it out.
type LoanReceived struct {
	Loan Loan `json:"loan"`
}

// Holders tells the borrower who holds the slots.
type Holders struct {
	// Slots is indexed by slot.
	Slots []SlotHolder `json:"slots"`
}

// SlotHolder names the holder of one slot.
type SlotHolder struct {
	Holder ident.Instance `json:"holder"`
	Addr   string         `json:"addr"`
	Epoch  uint64         `json:"epoch"`
}

// Ask is one borrower's ask to one holder, for all limits that it needs now.
type Ask struct {
	From ident.Instance `json:"from"`
	Addr string         `json:"addr,omitempty"`
	// Seq grows with each ask of this borrower; an ask that isn't newer than
	// the last one is ignored.
	Seq uint64 `json:"seq"`
	// Oldest is the oldest ask to this holder whose answer the borrower still
	// takes. Loans that answered earlier ones are either in Holding or void.
	OldestOpen uint64    `json:"old"`
	Items      []AskItem `json:"items"`
}

// AskItem asks for one limit.
type AskItem struct {
	Key Key `json:"k"`
	// Epoch is that of the slot's holder as the borrower knows it.
	Epoch uint64 `json:"e"`
	// Want is the amount asked for.
	Want int64 `json:"w,omitempty"`
	// Now is the part of Want that waiting requests take on arrival.
	Immediate int64 `json:"p,omitempty"`
	// Grain is the smallest amount that is of use; 0 means 1.
	MinAmount int64 `json:"n,omitempty"`
	// Holding is what the borrower can still spend, Return not counted.
	Unspent int64 `json:"h,omitempty"`
	// Return is handed back unspent.
	Return int64 `json:"r,omitempty"`
	// Refund is what settled counts were below their estimates.
	Refund int64 `json:"f,omitempty"`
}

// Loan answers an Ask.
type Loan struct {
	To ident.Instance `json:"to"`
	// Seq echoes the ask's.
	Seq   uint64     `json:"seq"`
	Items []LoanItem `json:"items"`
}

// LoanItem lends an amount of one limit, or refuses.
type LoanItem struct {
	// Index is the item's index in the ask.
	Index int `json:"i"`
	// Epoch is the lender's.
	Epoch  uint64 `json:"e"`
	Amount int64  `json:"a,omitempty"`
	// Now is the part of Amount that can be spent for PromptTerm only.
	Immediate int64 `json:"p,omitempty"`
	// Short says that the supply didn't cover what all want.
	Scarce bool `json:"s,omitempty"`
	// Refused is set in place of an amount: CauseNoLimit for a limit that
	// nobody accepted, or RefusedNotHolder.
	Refused verdict.Cause `json:"c,omitempty"`
}

// RefusedNotHolder says that the lender doesn't hold the slot in the epoch that
// the borrower named. It never reaches a caller.
const CauseNotHolder verdict.Cause = "not-holder"

// SendAsk asks the shell to send an ask to a holder.
type SendAsk struct {
	To   ident.Instance `json:"to"`
	Addr string         `json:"addr"`
	Ask  Ask            `json:"ask"`
}

// SendLoan asks the shell to send a loan to a borrower.
type SendLoan struct {
	To   ident.Instance `json:"to"`
	Addr string         `json:"addr,omitempty"`
	Loan Loan           `json:"loan"`
}

// Refilled says that loans arrived: requests that wait for these limits may
// try again.
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

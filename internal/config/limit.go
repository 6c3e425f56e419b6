package config

import (
	"cmp"

	"github.com/catkinstair/catkinstair/internal/ident"
)

// Unit is the unit of a limit, always an amount per second.
type Unit string

// The units allowed in a sheet.
const (
	UnitRequests Unit = "requests/s"
	UnitTokens   Unit = "tokens/s"
)

// Units lists every unit.
var Units = []Unit{UnitRequests, UnitTokens}

// MaxLimit is the largest allowed value of a limit, per second.
const MaxLimit = 1_000_000_000

// Day is a calendar day as "2006-01-02". Days compare as strings.
type Day string

// LimitKey identifies one limit.
type LimitKey struct {
	Team    ident.Team    `json:"team"`
	Service ident.Service `json:"service"`
	Unit    Unit          `json:"unit"`
}

// Compare orders keys by team, service and unit.
func (k LimitKey) Compare(other LimitKey) int {
	return cmp.Or(
		cmp.Compare(k.Team, other.Team),
		cmp.Compare(k.Service, other.Service),
		cmp.Compare(k.Unit, other.Unit),
	)
}

// String formats the key as "team/service in unit".
func (k LimitKey) String() string {
	return string(k.Team) + "/" + string(k.Service) + " in " + string(k.Unit)
}

// Limit is an accepted limit.
type Limit struct {
	// Value is the amount per second, in the unit of the limit's key.
	Value uint64 `json:"value"`
	// RaisedOn is the day of the last raise; empty if the limit was never raised.
	RaisedOn Day `json:"raised_on,omitempty"`
}

// Join returns the limit with the larger value; if the values are equal, RaisedOn is the
// later of the two days.
func (l Limit) Join(other Limit) Limit {
	if other.Value != l.Value {
		if other.Value > l.Value {
			return other
		}
		return l
	}
	l.RaisedOn = max(l.RaisedOn, other.RaisedOn)
	return l
}

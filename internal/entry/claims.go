package entry

import (
	"encoding/json"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/catkinstair/catkinstair/internal/adapter/app"
	"github.com/catkinstair/catkinstair/internal/adapter/kv"
	"github.com/catkinstair/catkinstair/internal/call"
	"github.com/catkinstair/catkinstair/internal/ident"
)

// claimPrefix starts the names of claims in the key-value service.
const claimPrefix = "catkin/claims/"

// claimValue is a claim as it is stored.
type claimValue struct {
	Record   call.Record   `json:"record"`
	Response *app.Response `json:"response,omitempty"`
}

// claimKey names a claim: callers choose keys freely, so they are hashed beside
// their plain text.
func claimKey(team ident.Team, key string) string {
	return claimPrefix + strconv.FormatUint(xxhash.Sum64String(string(team)), 16) + "/" +
		strconv.FormatUint(xxhash.Sum64String(key), 16) + "/" + key
}

func (s *Shell) claim(a call.Claim) {
	result, record, revision := s.write(a.Team, a.Key, a.Record, a.Expect, nil)
	s.Send(call.ClaimEnded{ID: a.ID, Result: result, Record: record, Revision: revision})
}

// recordOutcome writes what became of a claimed call, with the reply beside it
// if it is small enough.
func (s *Shell) recordOutcome(a call.RecordOutcome, response app.Response) {
	var kept *app.Response
	switch {
	case a.Record.Body == "":
	case len(response.Body) <= maxStoredBody:
		kept = &response
	default:
		a.Record.Body = ""
	}
	result, record, revision := s.write(a.Team, a.Key, a.Record, a.Expect, kept)
	s.Send(call.OutcomeRecorded{ID: a.ID, Result: result, Record: record, Revision: revision})
}

// write makes one compare-and-swap of a claim.
func (s *Shell) write(team ident.Team, key string, record call.Record, expect uint64,
	response *app.Response) (call.WriteResult, call.Record, uint64) {
	raw, err := json.Marshal(claimValue{Record: record, Response: response})
	if err != nil {
		return call.WriteNotApplied, call.Record{}, 0
	}
	revision, err := s.kv.CAS(claimKey(team, key), raw, int64(expect), "", claimTimeout)
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		return call.Written, record, uint64(revision)
	case errors.As(err, &conflict):
		return s.existing(conflict)
	case errors.Is(err, kv.ErrUnavailable):
		return call.WriteNotApplied, call.Record{}, 0
	default:
		return call.WriteUnknown, call.Record{}, 0
	}
}

// existing reads the claim that another write left, and keeps its answer for the
// caller.
func (s *Shell) existing(conflict *kv.ConflictError) (call.WriteResult, call.Record, uint64) {
	if conflict.Current == nil {
		return call.WriteUnknown, call.Record{}, 0
	}
	var value claimValue
	if err := json.Unmarshal(conflict.Current.Value, &value); err != nil {
		s.Log.Error().Err(err).Str("key", conflict.Current.Key).Msg("claim is not readable")
		return call.WriteUnknown, call.Record{}, 0
	}
	if value.Response != nil && value.Record.Body != "" {
		value.Record.Body = s.calls.copyRef(value.Record.Body)
		s.calls.store(value.Record.Body, *value.Response)
	}
	return call.Exists, value.Record, uint64(conflict.Current.Revision)
}

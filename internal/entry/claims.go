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

// claimPrefix is the key prefix of claims in the key-value service.
const claimPrefix = "catkin/claims/"

// claimValue is the stored form of a claim.
type claimValue struct {
	Record   call.Record   `json:"record"`
	Response *app.Response `json:"response,omitempty"`
}

// claimKey returns the key of a claim in the key-value service. It contains the hashes
// of team and key, because callers choose their idempotency keys freely, and the key
// itself.
func claimKey(team ident.Team, key string) string {
	return claimPrefix + strconv.FormatUint(xxhash.Sum64String(string(team)), 16) + "/" +
		strconv.FormatUint(xxhash.Sum64String(key), 16) + "/" + key
}

func (s *Shell) claim(a call.Claim) {
	result, record, revision := s.writeClaim(a.Team, a.Key, a.Record, a.ExpectedRevision, nil)
	s.Send(call.ClaimEnded{ID: a.ID, Result: result, Record: record, Revision: revision})
}

// recordOutcome writes the outcome of a claimed call. The response is stored with it
// unless its body exceeds maxStoredBodyBytes.
func (s *Shell) recordOutcome(a call.RecordOutcome, response app.Response) {
	var stored *app.Response
	switch {
	case a.Record.Body == "":
	case len(response.Body) <= maxStoredBodyBytes:
		stored = &response
	default:
		a.Record.Body = ""
	}
	result, record, revision := s.writeClaim(a.Team, a.Key, a.Record, a.ExpectedRevision, stored)
	s.Send(call.OutcomeRecorded{ID: a.ID, Result: result, Record: record, Revision: revision})
}

// writeClaim writes a claim by one compare-and-swap. After a conflict it returns the
// stored claim.
func (s *Shell) writeClaim(team ident.Team, key string, record call.Record, expectedRevision uint64,
	response *app.Response) (call.WriteResult, call.Record, uint64) {
	raw, err := json.Marshal(claimValue{Record: record, Response: response})
	if err != nil {
		return call.WriteNotApplied, call.Record{}, 0
	}
	revision, err := s.kv.CAS(claimKey(team, key), raw, int64(expectedRevision), "", claimTimeout)
	var conflict *kv.ConflictError
	switch {
	case err == nil:
		return call.WriteApplied, record, uint64(revision)
	case errors.As(err, &conflict):
		return s.existingClaim(conflict)
	case errors.Is(err, kv.ErrUnavailable):
		return call.WriteNotApplied, call.Record{}, 0
	default:
		return call.WriteUnknown, call.Record{}, 0
	}
}

// existingClaim decodes the claim that an earlier write stored, and keeps its response
// for the caller.
func (s *Shell) existingClaim(conflict *kv.ConflictError) (call.WriteResult, call.Record, uint64) {
	if conflict.Current == nil {
		return call.WriteUnknown, call.Record{}, 0
	}
	var value claimValue
	if err := json.Unmarshal(conflict.Current.Value, &value); err != nil {
		s.Log.Error().Err(err).Str("key", conflict.Current.Key).Msg("cannot decode stored claim")
		return call.WriteUnknown, call.Record{}, 0
	}
	if value.Response != nil && value.Record.Body != "" {
		value.Record.Body = s.calls.newCopyRef(value.Record.Body)
		s.calls.storeResponse(value.Record.Body, *value.Response)
	}
	return call.WriteConflict, value.Record, uint64(conflict.Current.Revision)
}

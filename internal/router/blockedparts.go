package router

import (
	"cmp"
	"context"
	"encoding/json"
	"maps"
	"reflect"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/poison"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// blockedPartsURI is the path on the metrics port that lists the blocked parts and requests
	// (GET) and lifts a block (DELETE).
	blockedPartsURI = "/blocked-prompt-parts"
	// liftPartParam is the query parameter of the part whose block an operator lifts.
	liftPartParam = "part"
	// storeBlocksInterval is the interval at which the leader compares the stored list with
	// its own.
	storeBlocksInterval = 500 * time.Millisecond
	// maxStoredBlocks bounds the list in the store.
	maxStoredBlocks = 64
)

// blockedPart is a blocked part in the store and in the operators' list.
type blockedPart struct {
	Part poison.Part `json:"part"`
	// SinceMs and SeenMs are when the part was blocked and when a request with it last
	// arrived, in Unix milliseconds.
	SinceMs   int64 `json:"since_ms"`
	SeenMs    int64 `json:"seen_ms"`
	Crashes   int   `json:"crashes,omitempty"`
	Ambiguous bool  `json:"ambiguous,omitempty"`
	Trials    int   `json:"trials,omitempty"`
}

// storedBlocks is what is known of the list in the store, from which VMs that start after
// the loss of all others learn the blocked parts.
type storedBlocks struct {
	revision uint64 // of the key; 0 if absent
	version  uint64 // Guard.Version of the last list written
	// extra holds, by part, the fields that only later builds know. They are written again
	// with the part.
	extra map[poison.Part]map[string]json.RawMessage
	// unknown holds the entries without a part, and those that this build can't decode. They
	// are written again as they are.
	unknown []json.RawMessage
}

// decodeBlockedParts decodes the list in the store.
func decodeBlockedParts(value []byte) (list []blockedPart, extra map[poison.Part]map[string]json.RawMessage, unknown []json.RawMessage, err error) {
	var entries []json.RawMessage
	if err := json.Unmarshal(value, &entries); err != nil {
		return nil, nil, nil, err
	}
	extra = map[poison.Part]map[string]json.RawMessage{}
	for _, entry := range entries[:min(len(entries), maxStoredBlocks)] {
		var b blockedPart
		if err := json.Unmarshal(entry, &b); err != nil || b.Part == "" {
			unknown = append(unknown, entry)
			continue
		}
		// One of the two times is enough.
		b.SinceMs, b.SeenMs = cmp.Or(b.SinceMs, b.SeenMs), cmp.Or(b.SeenMs, b.SinceMs)
		list = append(list, b)
		if fields := unknownFields(entry); len(fields) > 0 {
			extra[b.Part] = fields
		}
	}
	return list, extra, unknown, nil
}

// unknownFields returns the fields of an entry that blockedPart does not have.
func unknownFields(entry json.RawMessage) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(entry, &fields); err != nil {
		return nil
	}
	t := reflect.TypeFor[blockedPart]()
	for i := range t.NumField() {
		known, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		maps.DeleteFunc(fields, func(name string, _ json.RawMessage) bool { return strings.EqualFold(name, known) })
	}
	return fields
}

// encodeBlockedParts encodes the list for the store, with the fields and entries of other
// builds that the list in the store had.
func encodeBlockedParts(list []blockedPart, stored storedBlocks) ([]byte, error) {
	entries := make([]any, 0, len(list))
	for _, b := range list {
		extra := stored.extra[b.Part]
		if len(extra) == 0 {
			entries = append(entries, b)
			continue
		}
		own, err := json.Marshal(b)
		if err != nil {
			return nil, err
		}
		fields := maps.Clone(extra)
		if err := json.Unmarshal(own, &fields); err != nil {
			return nil, err
		}
		entries = append(entries, fields)
	}
	entries = entries[:min(len(entries), maxStoredBlocks)]
	for _, u := range stored.unknown[:min(len(stored.unknown), maxStoredBlocks-len(entries))] {
		entries = append(entries, u)
	}
	return json.Marshal(entries)
}

// applyBlockedParts takes over the list in the store.
func (r *Router) applyBlockedParts(it platform.Item) {
	if it.Removed {
		r.storedBlocks = storedBlocks{}
		return
	}
	if it.Revision < r.storedBlocks.revision {
		return
	}
	r.storedBlocks.revision = it.Revision
	list, extra, unknown, err := decodeBlockedParts(it.Value)
	if err != nil {
		r.log.Warn().Err(err).Str("key", it.Key).Msg("invalid list of blocked prompt parts")
		return
	}
	r.storedBlocks.extra, r.storedBlocks.unknown = extra, unknown
	now, wall := r.clock.now(), time.Now()
	age := func(ms int64) time.Duration { return max(0, wall.Sub(time.UnixMilli(ms))) }
	for _, b := range list {
		restored := poison.Block{Part: b.Part, Since: now - age(b.SinceMs), Seen: now - age(b.SeenMs), Crashes: b.Crashes, Ambiguous: b.Ambiguous, Trials: b.Trials}
		if r.core.Poison.Restore(now, restored) {
			r.logBlock(restored, "store")
		}
	}
}

// blockedList returns the blocked parts, the one seen last first.
func (r *Router) blockedList() (list []blockedPart, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, wall := r.clock.now(), time.Now()
	list = []blockedPart{}
	for _, b := range r.core.Poison.Blocked(now) {
		list = append(list, blockedPart{Part: b.Part, SinceMs: wall.Add(b.Since - now).UnixMilli(), SeenMs: wall.Add(b.Seen - now).UnixMilli(), Crashes: b.Crashes, Ambiguous: b.Ambiguous, Trials: b.Trials})
	}
	return list, r.core.Poison.Version()
}

// storeBlockedParts writes the list of blocked parts to the store when it has changed, while
// this VM is the leader, until ctx ends.
func (r *Router) storeBlockedParts(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, storeBlocksInterval)
		r.runGuarded("blocked parts", "store", r.storeBlockedPartsOnce)
	}
}

func (r *Router) storeBlockedPartsOnce() {
	list, version := r.blockedList()
	r.mu.Lock()
	stored, write := r.storedBlocks, r.election.IsLeader(r.clock.now()) && !r.storeDown && version != r.storedBlocks.version
	r.mu.Unlock()
	if !write {
		return
	}
	value, err := encodeBlockedParts(list, stored)
	if err != nil {
		r.log.Error().Err(err).Msg("encoding the blocked prompt parts failed")
		return
	}
	revision, err := r.store.Commit(platform.Txn{
		Preconditions: []platform.Precondition{{Key: blockedKey, Revision: stored.revision}},
		Puts:          []platform.Put{{Key: blockedKey, Value: value}},
	}, httpcall.Within(r.cfg.StoreTimeout))
	if err != nil {
		r.log.Warn().Err(err).Msg("storing the blocked prompt parts failed; tried again")
		return
	}
	r.locked(func() {
		r.storedBlocks.revision, r.storedBlocks.version = max(revision, r.storedBlocks.revision), version
	})
}

// handleBlockedParts serves the list of blocked parts as JSON.
func (r *Router) handleBlockedParts(ctx *fasthttp.RequestCtx) {
	list, _ := r.blockedList()
	body, err := json.Marshal(list)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// handleLiftBlock ends the block of the part that the query names, on all VMs.
func (r *Router) handleLiftBlock(ctx *fasthttp.RequestCtx) {
	part := poison.Part(ctx.QueryArgs().Peek(liftPartParam))
	var p poison.Progress
	var known bool
	r.locked(func() { p, known = r.core.Poison.Lift(r.clock.now(), part) })
	if !known {
		ctx.Error("no block of this part; GET "+blockedPartsURI+" lists them", fasthttp.StatusNotFound)
		return
	}
	r.log.Warn().Str("part", string(part)).Stringer("from", ctx.RemoteAddr()).Msg("block lifted by an operator")
	r.applyBlocks(poison.Result{New: p.News, Unblocked: p.Unblocked}, r.settings.VM)
}

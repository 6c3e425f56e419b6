package router

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/changefeed"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// followURI is the call between VMs that passes the store's changes on.
	followURI = "/changes"
	// followWait is how long a reader holds the question of another VM.
	followWait = time.Second
	// followTimeout is how long the other VM waits in all; then it asks the store.
	followTimeout = 1300 * time.Millisecond
	// directFor is how long a VM stays with the store after a reader failed it.
	directFor = 3 * time.Second
)

// question asks a reader for changes after a revision.
type question struct {
	Since uint64 `cbor:"1,keyasint"`
}

// changes is a reader's answer. Missing says that the reader can't tell: its log
// does not reach back, or it has lost the store.
type changes struct {
	Missing bool            `cbor:"1,keyasint"`
	Items   []platform.Item `cbor:"2,keyasint"`
	AsOf    uint64          `cbor:"3,keyasint"`
}

var errReaderBehind = errors.New("the reader does not know all changes")

// servePeers answers other VMs' questions on the port that also takes datagrams.
func (r *Router) servePeers() error {
	l, err := listen(r.set.Listen.Datagrams)
	if err != nil {
		return err
	}
	// A configuration of a hundred kilobytes goes to a dozen VMs over a slow link.
	handler := fasthttp.CompressHandlerLevel(r.handleChanges, fasthttp.CompressBestSpeed)
	s := &fasthttp.Server{Logger: serverLog{r.log}, Handler: handler, NoDefaultServerHeader: true}
	r.small = append(r.small, s)
	go func() {
		if err := s.Serve(l); err != nil {
			r.log.Error().Err(err).Msg("other VMs' server ended")
		}
	}()
	return nil
}

func (r *Router) handleChanges(ctx *fasthttp.RequestCtx) {
	var q question
	if err := cbor.Unmarshal(ctx.PostBody(), &q); err != nil || string(ctx.Path()) != followURI {
		ctx.Error("want a question for changes", fasthttp.StatusBadRequest)
		return
	}
	body, err := cbor.Marshal(r.changesSince(q.Since))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(body)
}

// changesSince waits until there is something to tell, at most followWait.
func (r *Router) changesSince(since uint64) changes {
	end := time.NewTimer(followWait)
	defer end.Stop()
	for {
		r.mu.Lock()
		items, asOf, ok := r.changed.Since(since)
		// One that is leaving is soon gone, and those that follow it would not hear so.
		// Two VMs that see different members may ask each other: only one that
		// watches the store itself knows that it is not behind.
		behind := !ok || r.away || r.stopping.Load() || r.reader(r.clock.now()) != ""
		more := r.moreChanges
		r.mu.Unlock()
		if behind || len(items) > 0 {
			return changes{Missing: behind, Items: items, AsOf: asOf}
		}
		select {
		case <-more:
		case <-end.C:
			return changes{AsOf: asOf}
		}
	}
}

// logChanges keeps events for other VMs. The caller holds mu.
func (r *Router) logChanges(items []platform.Item, asOf uint64) {
	entries := make([]changefeed.Entry[platform.Item], 0, len(items))
	for _, it := range items {
		entries = append(entries, changefeed.Entry[platform.Item]{Key: it.Key, Revision: it.Revision, Bytes: len(it.Key) + len(it.Value), Item: it})
	}
	r.changed.Append(entries, asOf)
	r.wakeAskers()
}

// wakeAskers lets waiting questions look again. The caller holds mu.
func (r *Router) wakeAskers() {
	close(r.moreChanges)
	r.moreChanges = make(chan struct{})
}

// reader returns the address of the VM to ask for changes; "" for the store. The
// caller holds mu.
func (r *Router) reader(now time.Duration) string {
	if now < r.directUntil {
		return ""
	}
	var near []string
	for vm, m := range r.members {
		if m.Domain == r.set.Domain {
			near = append(near, vm)
		}
	}
	for _, vm := range changefeed.Sources(r.cfg.Follow, r.set.VM, near) {
		if addr := r.members[vm].Peers; addr != "" && addr != r.avoidReader {
			return addr
		}
	}
	return ""
}

// askReader asks another VM for what changed since a revision. A reader that can't
// tell is avoided next, and the store is asked for a while.
func (r *Router) askReader(addr string, since uint64) (uint64, error) {
	got, err := r.question(addr, since)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.avoidReader, r.directUntil = addr, r.clock.now()+directFor
		r.met.readerErrors.Inc()
		r.log.Info().Err(err).Str("reader", addr).Msg("changes: asking the store itself")
		return since, nil // no failure of the store
	}
	for _, it := range got.Items {
		r.takeIn(it)
	}
	r.logChanges(got.Items, got.AsOf)
	return max(since, got.AsOf), nil
}

func (r *Router) question(addr string, since uint64) (changes, error) {
	body, err := cbor.Marshal(question{Since: since})
	if err != nil {
		return changes{}, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + followURI)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	req.SetBodyRaw(body)
	if err := r.calls.Do(addr, req, resp, httpcall.Within(followTimeout)); err != nil {
		return changes{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return changes{}, httpcall.NewStatusError(addr, req, resp, httpcall.MayHaveArrived)
	}
	plain, err := resp.BodyUncompressed()
	if err != nil {
		return changes{}, errors.Wrap(err, "answer of a reader")
	}
	var got changes
	if err := cbor.Unmarshal(plain, &got); err != nil {
		return changes{}, errors.Wrap(err, "answer of a reader")
	}
	if got.Missing {
		return changes{}, errReaderBehind
	}
	return got, nil
}

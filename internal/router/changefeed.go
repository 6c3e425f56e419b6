package router

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/changefeed"
	"github.com/catkinstair/catkinstair/internal/connbudget"
	"github.com/catkinstair/catkinstair/internal/ingress"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// changesURI is the path under which a watcher serves the store's changes to other VMs.
	changesURI = "/changes"
	// changesWait is how long a watcher holds a request until there are changes.
	changesWait = time.Second
	// changesTimeout bounds a request to a watcher. If it expires, the VM watches the
	// store itself.
	changesTimeout = 1300 * time.Millisecond
	// watchStoreFor is how long a VM watches the store itself after a watcher failed.
	watchStoreFor = 3 * time.Second
)

// changesRequest asks a watcher for the changes after a revision.
type changesRequest struct {
	Since uint64 `cbor:"1,keyasint"`
	// Era is the store's era to which Since belongs.
	Era uint64 `cbor:"2,keyasint"`
}

// changesResponse is a watcher's response. Unavailable is set if the changes may be
// incomplete: the VM's log does not reach back to the revision, it has lost the store, it
// is stopping, it knows another era of the store, or it does not watch the store itself.
type changesResponse struct {
	Unavailable bool            `cbor:"1,keyasint"`
	Items       []platform.Item `cbor:"2,keyasint"`
	AsOf        uint64          `cbor:"3,keyasint"`
}

var errChangesUnavailable = errors.New("watcher cannot serve the changes since the revision")

// servePeerRequests serves other VMs' requests for changes, findings and the configuration over TCP, on the port
// that receives load messages over UDP.
func (r *Router) servePeerRequests() error {
	l, err := ingress.Listen("tcp4", r.settings.Listen.Datagrams)
	if err != nil {
		return err
	}
	// Compressed, because a configuration of 100 kB goes to a dozen VMs over a slow link.
	s := r.newAuxServer(fasthttp.CompressHandlerLevel(r.handlePeerRequest, fasthttp.CompressBestSpeed))
	r.auxServers = append(r.auxServers, s)
	r.serve(connbudget.Peers, l, s)
	return nil
}

func (r *Router) handlePeerRequest(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case changesURI:
		r.handleChanges(ctx)
	case findingsURI:
		r.handleFindings(ctx)
	case configurationURI:
		r.handleConfiguration(ctx)
	default:
		ctx.Error("want "+changesURI+", "+findingsURI+" or "+configurationURI, fasthttp.StatusNotFound)
	}
}

func (r *Router) handleChanges(ctx *fasthttp.RequestCtx) {
	var req changesRequest
	if err := cbor.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error("want a question for changes", fasthttp.StatusBadRequest)
		return
	}
	body, err := cbor.Marshal(r.changesSince(req.Since, req.Era))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(body)
}

// changesSince returns the changes after a revision of an era. It waits for the first one, at
// most changesWait.
func (r *Router) changesSince(since, era uint64) changesResponse {
	timeout := time.NewTimer(changesWait)
	defer timeout.Stop()
	for {
		r.mu.Lock()
		items, asOf, ok := r.changeLog.Since(since)
		// A stopping VM refuses, because the VMs that ask it are not notified when it
		// exits. So does a VM that does not watch the store itself, which may be behind:
		// two VMs with different views of the membership may ask each other.
		unavailable := !ok || era != r.storeEra || r.storeDown || r.stopping.Load() || r.watcherAddr(r.clock.now()) != ""
		updated := r.changeLogUpdated
		r.mu.Unlock()
		if unavailable || len(items) > 0 {
			return changesResponse{Unavailable: unavailable, Items: items, AsOf: asOf}
		}
		select {
		case <-updated:
		case <-timeout.C:
			return changesResponse{AsOf: asOf}
		}
	}
}

// appendChanges adds events to the log served to other VMs. The caller holds mu.
func (r *Router) appendChanges(items []platform.Item, asOf uint64) {
	entries := make([]changefeed.Entry[platform.Item], 0, len(items))
	for _, it := range items {
		entries = append(entries, changefeed.Entry[platform.Item]{Key: it.Key, Revision: it.Revision, Bytes: len(it.Key) + len(it.Value), Item: it})
	}
	r.changeLog.Append(entries, asOf)
	r.notifyChangeWaiters()
}

// notifyChangeWaiters wakes the requests that wait for changes. The caller holds mu.
func (r *Router) notifyChangeWaiters() {
	close(r.changeLogUpdated)
	r.changeLogUpdated = make(chan struct{})
}

// watcherAddr returns the address of the VM to ask for changes, or "" if this VM must
// watch the store itself. The caller holds mu.
func (r *Router) watcherAddr(now time.Duration) string {
	if now < r.watchStoreUntil {
		return ""
	}
	return r.assignedWatcher()
}

// assignedWatcher returns the address of a watcher of this VM's failure domain that has not
// just failed, or "" if this VM is a watcher or has none. The caller holds mu.
func (r *Router) assignedWatcher() string {
	var sameDomain []string
	for vm, m := range r.members {
		if m.Domain == r.settings.Domain {
			sameDomain = append(sameDomain, vm)
		}
	}
	for _, vm := range changefeed.Sources(r.cfg.Changefeed, r.settings.VM, sameDomain) {
		if addr := r.members[vm].PeerAddr; addr != "" && addr != r.failedWatcher {
			return addr
		}
	}
	return ""
}

// errWatcherFailed means that a watcher gave no changes and this VM watches the store itself
// next. Nothing was read, but the store has not failed either.
var errWatcherFailed = errors.New("watcher failed, asking the store")

// fetchChanges asks a watcher for the changes after a revision and returns the revision
// reached. If the watcher fails, it is not asked again until another one fails, and this
// VM watches the store itself for watchStoreFor.
func (r *Router) fetchChanges(addr string, since uint64) (uint64, error) {
	era, eraChanges := r.eraOfCall()
	resp, err := r.requestChanges(addr, since, era)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		return since, r.watcherFailed(addr, err)
	}
	if r.eraChanges != eraChanges {
		return 0, nil // the changes are those of another era
	}
	for _, it := range resp.Items {
		r.applyItem(it)
	}
	r.appendChanges(resp.Items, resp.AsOf)
	return max(since, resp.AsOf), nil
}

// watcherFailed makes this VM watch the store itself for a while, unless it could not reach
// the store a moment ago either. Then it asks the watchers again: in an outage, few VMs
// need to find out when the store is back. It returns err in that case, else
// errWatcherFailed. The caller holds mu.
func (r *Router) watcherFailed(addr string, err error) error {
	r.failedWatcher = addr
	r.metrics.watcherErrors.Inc()
	now := r.clock.now()
	if errors.Is(err, errChangesUnavailable) && now < r.ownTryAt {
		return err
	}
	r.watchStoreUntil = now + watchStoreFor
	r.log.Info().Err(err).Str("reader", addr).Msg("changes: asking the store itself")
	return errWatcherFailed
}

// ownReadFailed records that this VM could not reach the store. A VM with watchers leaves the
// next tries to them for OwnTryInterval. The caller holds mu.
func (r *Router) ownReadFailed() {
	if now := r.clock.now(); now < r.watchStoreUntil && r.assignedWatcher() != "" {
		r.watchStoreUntil, r.ownTryAt = now, now+r.cfg.OwnTryInterval
	}
}

func (r *Router) requestChanges(addr string, since, era uint64) (changesResponse, error) {
	body, err := cbor.Marshal(changesRequest{Since: since, Era: era})
	if err != nil {
		return changesResponse{}, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + changesURI)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	req.SetBodyRaw(body)
	if err := r.controlClient.Do(addr, req, resp, httpcall.Within(changesTimeout)); err != nil {
		return changesResponse{}, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return changesResponse{}, httpcall.NewStatusError(addr, req, resp, httpcall.MayHaveArrived)
	}
	plain, err := resp.BodyUncompressed()
	if err != nil {
		return changesResponse{}, errors.Wrap(err, "response of a watcher")
	}
	return decodeChanges(plain)
}

// decodeChanges decodes a watcher's response. A response with an invalid field, or without
// AsOf, is refused as a whole, because changes could be missing from it.
func decodeChanges(body []byte) (changesResponse, error) {
	var decoded changesResponse
	if err := cbor.Unmarshal(body, &decoded); err != nil {
		return changesResponse{}, errors.Wrap(err, "response of a watcher")
	}
	if decoded.Unavailable || decoded.AsOf == 0 {
		return changesResponse{}, errChangesUnavailable
	}
	return decoded, nil
}

package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/basis"
	"github.com/catkinstair/catkinstair/platform"
)

const (
	// configurationURI is the path under which a VM serves its configuration to VMs that know an
	// older one.
	configurationURI = "/configuration"
	// catchUpTimeout bounds a request for the configuration.
	catchUpTimeout = time.Second
	// catchUpPause is the pause between two requests.
	catchUpPause = 100 * time.Millisecond
)

// configurationRequest asks another VM for its configuration, and says what the asking VM knows.
type configurationRequest struct {
	VM string `cbor:"1,keyasint"`
	// Known is set if Version and Era are.
	Known   bool   `cbor:"2,keyasint"`
	Version int64  `cbor:"3,keyasint"`
	Era     uint64 `cbor:"4,keyasint"`
}

// configurationResponse is the response. Value is the configuration document, as the store has it;
// empty if the asking VM knows the same version or a newer one.
type configurationResponse struct {
	Value []byte `cbor:"1,keyasint"`
}

// state returns what this VM knows. The caller holds mu.
func (r *Router) state() basis.State {
	table := r.core.Table()
	if table == nil {
		return basis.State{}
	}
	return basis.State{Known: true, Version: table.Config().Version, Era: r.storeEra}
}

// encodedState returns what this VM knows as the value of platform.HeaderState.
func (r *Router) encodedState() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return platform.EncodeState(r.settings.VM, r.state())
}

// receiveState applies the rule for a message of another VM that rests on a state, and reports
// whether this VM may act on the message.
func (r *Router) receiveState(kind basis.Message, from string, rests basis.State) (act bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.state()
	if rests.Known && basis.Compare(rests, known) != basis.Older {
		r.core.PeerCaughtUp(r.clock.now(), from)
	}
	action := basis.Decide(kind, known, rests)
	if action.CatchUp {
		r.requestCatchUp(from)
	}
	return action.Act
}

// requestCatchUp makes catchUp ask a VM for its configuration.
func (r *Router) requestCatchUp(vm string) {
	select {
	case r.catchUpFrom <- vm:
	default: // another VM is about to be asked
	}
}

// catchUp asks VMs that know a newer configuration for it, until ctx ends.
func (r *Router) catchUp(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-r.catchUpFrom:
			r.runGuarded("catch up", vm, func() { r.catchUpWith(vm) })
		}
		pause(ctx, catchUpPause)
	}
}

// catchUpWith takes over the configuration of another VM if it is newer, and tells it so.
func (r *Router) catchUpWith(vm string) {
	addr := ""
	var known basis.State
	r.locked(func() { addr, known = r.members[vm].PeerAddr, r.state() })
	if addr == "" {
		r.log.Info().Str("from", vm).Msg("configuration: another VM knows a newer one, but has no record with an address")
		return
	}
	value, err := r.requestConfiguration(addr, known)
	if err != nil {
		r.log.Warn().Err(err).Str("from", vm).Msg("configuration: asking another VM failed")
		return
	}
	if len(value) == 0 {
		return
	}
	r.log.Info().Str("from", vm).Int64("version", known.Version).Uint64("era", known.Era).Int("bytes", len(value)).Msg("configuration: another VM knows a newer one")
	r.locked(func() {
		r.applyItem(platform.Item{Key: platform.ConfigKey, Value: value})
		known = r.state()
	})
	if _, err := r.requestConfiguration(addr, known); err != nil {
		r.log.Info().Err(err).Str("from", vm).Msg("configuration: telling another VM that this one has caught up failed")
	}
}

// requestConfiguration tells the VM at addr what this one knows, and returns its configuration if
// it is newer.
func (r *Router) requestConfiguration(addr string, known basis.State) ([]byte, error) {
	body, err := cbor.Marshal(configurationRequest{VM: r.settings.VM, Known: known.Known, Version: known.Version, Era: known.Era})
	if err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + addr + configurationURI)
	req.Header.Set(fasthttp.HeaderAcceptEncoding, "gzip")
	req.SetBodyRaw(body)
	if err := r.controlClient.Do(addr, req, resp, httpcall.Within(catchUpTimeout)); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, httpcall.NewStatusError(addr, req, resp, httpcall.MayHaveArrived)
	}
	plain, err := resp.BodyUncompressed()
	if err != nil {
		return nil, errors.Wrap(err, "configuration of another VM")
	}
	return decodeConfiguration(plain)
}

// decodeConfiguration decodes the response of another VM and returns its configuration document.
func decodeConfiguration(body []byte) ([]byte, error) {
	var decoded configurationResponse
	if err := cbor.Unmarshal(body, &decoded); err != nil {
		return nil, errors.Wrap(err, "configuration of another VM")
	}
	return decoded.Value, nil
}

// handleConfiguration serves this VM's configuration to one that knows an older one.
func (r *Router) handleConfiguration(ctx *fasthttp.RequestCtx) {
	var req configurationRequest
	if err := cbor.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error("want a question for the configuration", fasthttp.StatusBadRequest)
		return
	}
	body, err := cbor.Marshal(r.configurationFor(req))
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/cbor")
	ctx.SetBody(body)
}

func (r *Router) configurationFor(req configurationRequest) configurationResponse {
	asking := basis.State{Known: req.Known, Version: req.Version, Era: req.Era}
	r.mu.Lock()
	defer r.mu.Unlock()
	if basis.Compare(asking, r.state()) != basis.Older {
		r.core.PeerCaughtUp(r.clock.now(), req.VM)
		return configurationResponse{}
	}
	return configurationResponse{Value: r.configValue}
}

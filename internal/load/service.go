package load

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/standin"
)

// serviceCall is one call to a plain service.
type serviceCall struct {
	method string
	path   string
	body   []byte
	key    string
}

// served is what one attempt at a service call brought.
type served struct {
	body    []byte
	refused *refusal
}

// serve makes one attempt at addr.
func (c *caller) serve(addr string, call serviceCall, opt httpcall.Options) served {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(call.method)
	req.SetRequestURI("http://" + addr + "/services/" + c.cfg.Service + call.path)
	req.Header.Set(headerTeam, c.team)
	setTimeout(req, opt)
	if call.key != "" {
		req.Header.Set(headerKey, call.key)
		req.Header.SetContentType("application/json")
	}
	req.SetBodyRaw(call.body)
	if err := c.calls.Do(addr, req, resp, opt); err != nil {
		return served{refused: failedCall(err)}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return served{refused: readRefusal(resp, resp.Body())}
	}
	return served{body: append([]byte(nil), resp.Body()...)}
}

// rightAnswer says whether body is what the application answers to the call.
func rightAnswer(call serviceCall, body []byte) bool {
	return bytes.Equal(body, standin.AppResponse(call.method, call.path, call.body))
}

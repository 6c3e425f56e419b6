package load

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
	"github.com/catkinstair/catkinstair/internal/standin"
)

// serviceCall is one call to a plain service.
type serviceCall struct {
	method         string
	path           string
	body           []byte
	idempotencyKey string
}

// serviceResult is the result of one attempt at a service call.
type serviceResult struct {
	body    []byte
	refused *refusal
}

// callService makes one attempt at addr.
func (c *caller) callService(addr string, call serviceCall, opt httpcall.Options) serviceResult {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(call.method)
	req.SetRequestURI("http://" + addr + "/services/" + c.cfg.Service + call.path)
	req.Header.Set(headerTeam, c.team)
	setTimeoutHeader(req, opt)
	if call.idempotencyKey != "" {
		req.Header.Set(headerKey, call.idempotencyKey)
		req.Header.SetContentType("application/json")
	}
	req.SetBodyRaw(call.body)
	if err := c.client.Do(addr, req, resp, opt); err != nil {
		return serviceResult{refused: noAnswer(err)}
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return serviceResult{refused: parseRefusal(resp, resp.Body())}
	}
	return serviceResult{body: append([]byte(nil), resp.Body()...)}
}

// isExpectedAnswer reports whether body is the application's response to call.
func isExpectedAnswer(call serviceCall, body []byte) bool {
	return bytes.Equal(body, standin.AppResponse(call.method, call.path, call.body))
}

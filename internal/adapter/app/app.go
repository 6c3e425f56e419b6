// Package app is the adapter to the replicas of plain services. A call is
// passed on as it came; the application does not deduplicate.
package app

import (
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
)

// Names of headers between the router and an application.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRun with the value "1" on a refusal says that the application
	// did not run the call.
	HeaderNotRun = "Catkin-Not-Run"
)

// Header is one header field.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Request is one call to an application.
type Request struct {
	Method string `json:"method"`
	// Path starts with "/" and may carry a query.
	Path    string   `json:"path"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Key is the Idempotency-Key, empty for none.
	Key string `json:"key,omitempty"`
}

// Response is the application's answer.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// NotRun is set when the application itself says that it did not run the
	// call (status 503 and the header Catkin-Not-Run).
	NotRun bool `json:"not_run,omitempty"`
}

// Client is the applications. Do is one call to one replica at addr
// ("ip:port"), never repeated. Any status is a Response; an error is an
// *httpcall.Error whose Sent says whether the application can have got the
// call.
type Client interface {
	Do(addr string, req Request, opt httpcall.Options) (Response, error)
}

// HTTP is the Client over HTTP. It is safe for concurrent use.
type HTTP struct {
	calls *httpcall.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client of any number of applications.
func NewHTTP(calls *httpcall.Client) *HTTP {
	return &HTTP{calls: calls}
}

// connectionHeaders belong to one connection and are not passed on.
var connectionHeaders = map[string]bool{
	"Connection":        true,
	"Content-Length":    true,
	"Date":              true,
	"Host":              true,
	"Keep-Alive":        true,
	"Server":            true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
}

// Do implements Client.
func (h *HTTP) Do(addr string, call Request, opt httpcall.Options) (Response, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	fill(req, addr, call)
	if err := h.calls.Do(addr, req, resp, opt); err != nil {
		return Response{}, err
	}
	return read(resp), nil
}

func fill(req *fasthttp.Request, addr string, call Request) {
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + addr + call.Path)
	req.URI().DisablePathNormalizing = true
	for _, h := range call.Headers {
		if !IsHopByHopHeader(h.Name) {
			req.Header.Add(h.Name, h.Value)
		}
	}
	if call.Key != "" {
		req.Header.Set(HeaderIdempotencyKey, call.Key)
	}
	req.SetBody(call.Body)
}

func read(resp *fasthttp.Response) Response {
	out := Response{
		Status: resp.StatusCode(),
		Body:   append([]byte(nil), resp.Body()...),
	}
	for name, value := range resp.Header.All() {
		if !IsHopByHopHeader(string(name)) {
			out.Headers = append(out.Headers, Header{Name: string(name), Value: string(value)})
		}
	}
	out.NotRun = out.Status == fasthttp.StatusServiceUnavailable &&
		string(resp.Header.Peek(HeaderNotRun)) == "1"
	return out
}

// ConnectionHeader says whether a header belongs to one connection and is not
// to be passed on. The name is in canonical form.
func IsHopByHopHeader(name string) bool {
	return connectionHeaders[name]
}

// Package app is the adapter to the replicas of plain services. Calls are passed on
// unchanged except for hop-by-hop headers. Applications do not deduplicate calls.
package app

import (
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adapter/httpcall"
)

// Headers between the router and an application.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderNotRun with the value "1" on a refusal means that the application did
	// not run the call.
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
	// Path starts with "/" and may include a query.
	Path    string   `json:"path"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// Key is the value of the Idempotency-Key header; empty for none.
	Key string `json:"key,omitempty"`
}

// Response is an application's response.
type Response struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// NotRun is set if the application reported that it did not run the call: status
	// 503 and the header Catkin-Not-Run.
	NotRun bool `json:"not_run,omitempty"`
}

// Client calls applications. Do makes one call to the replica at addr ("ip:port") and
// never retries it. A response with any status is returned as a Response. An error is
// an *httpcall.Error whose Sent tells whether the application can have received the
// call.
type Client interface {
	Do(addr string, req Request, opt httpcall.Options) (Response, error)
}

// HTTP implements Client over HTTP. It is safe for concurrent use.
type HTTP struct {
	calls *httpcall.Client
}

var _ Client = (*HTTP)(nil)

// NewHTTP returns a client for any number of applications.
func NewHTTP(calls *httpcall.Client) *HTTP {
	return &HTTP{calls: calls}
}

// hopByHopHeaders are the headers that belong to one connection and are not passed on:
// the hop-by-hop headers of HTTP and those that each hop sets itself.
var hopByHopHeaders = map[string]bool{
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

	writeRequest(req, addr, call)
	if err := h.calls.Do(addr, req, resp, opt); err != nil {
		return Response{}, err
	}
	return readResponse(resp), nil
}

func writeRequest(req *fasthttp.Request, addr string, call Request) {
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

func readResponse(resp *fasthttp.Response) Response {
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

// IsHopByHopHeader reports whether a header belongs to one connection and must not be
// passed on. name must be in canonical form.
func IsHopByHopHeader(name string) bool {
	return hopByHopHeaders[name]
}

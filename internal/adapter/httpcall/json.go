package httpcall

import (
	"encoding/json"
	"io"
	"time"

	"github.com/valyala/fasthttp"
)

// JSON makes one call with in as its JSON body (no body if in is nil) and decodes a 2xx
// response into out (ignored if out is nil). For any other status it returns an *Error
// with KindStatus and MayHaveArrived.
func (c *Client) JSON(addr, method, uri string, in, out any, opt Options) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)

	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + uri)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return setTarget(&Error{Kind: KindInvalid, Sent: NotSent, Err: err}, addr, req)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.Do(addr, req, resp, opt); err != nil {
		return err
	}
	if opt.OnHeader != nil {
		opt.OnHeader(&resp.Header)
	}
	if resp.StatusCode()/100 != 2 {
		return NewStatusError(addr, req, resp, MayHaveArrived)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return setTarget(&Error{Kind: KindMalformed, Sent: MayHaveArrived, Err: err}, addr, req)
	}
	return nil
}

// JSONStream makes one call without a body and hands the body of a 2xx response to read as it
// arrives, so that its size is not bounded. opt.IdleTimeout bounds the wait for the header,
// bodyIdle each wait for bytes of the body. opt.OnHeader is called before read. The error is as
// for JSON; one of read is wrapped in an *Error.
func (c *Client) JSONStream(addr, method, uri string, opt Options, bodyIdle time.Duration, read func(body io.Reader) error) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + addr + uri)
	var status error
	err := c.DoStream(addr, req, resp, opt, bodyIdle, func(resp *fasthttp.Response, body io.Reader) error {
		if opt.OnHeader != nil {
			opt.OnHeader(&resp.Header)
		}
		if resp.StatusCode()/100 == 2 {
			return read(body)
		}
		text, err := io.ReadAll(io.LimitReader(body, maxErrorBytes))
		e := &Error{Kind: KindStatus, Sent: MayHaveArrived, Status: resp.StatusCode(), RetryAfter: RetryAfter(&resp.Header), Body: string(text)}
		status = setTarget(e, addr, req)
		return err
	})
	if status != nil {
		return status
	}
	return err
}

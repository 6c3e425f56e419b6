package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/catkinstair/catkinstair/internal/adminapi"
)

// maxResponseBytes bounds the body of an API response.
const maxResponseBytes = 64 << 20

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Newf(format, args...)}
}

// ExitCode returns the exit code for an error of the root command's Execute. An error
// without a code of its own is a usage error.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitUsage
}

// client calls the administration API at the first address that responds with a status
// other than 503.
type client struct {
	http    *fasthttp.Client
	scheme  string
	addrs   []string
	key     string
	timeout time.Duration
}

func newClient(c connection) (*client, error) {
	scheme, config := "http", (*tls.Config)(nil)
	if c.tls || c.ca != "" {
		scheme = "https"
		config = &tls.Config{MinVersion: tls.VersionTLS12, ServerName: c.serverName}
	}
	if c.ca != "" {
		pool, err := readCertPool(c.ca)
		if err != nil {
			return nil, err
		}
		config.RootCAs = pool
	}
	http := &fasthttp.Client{
		Name: "catkinctl", TLSConfig: config, MaxResponseBodySize: maxResponseBytes,
		MaxIdemponentCallAttempts: 1, ReadTimeout: c.timeout, WriteTimeout: c.timeout,
	}
	return &client{http: http, scheme: scheme, addrs: c.addrs, key: c.key, timeout: c.timeout}, nil
}

func readCertPool(file string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(file)
	if err != nil {
		return nil, exitErrorf(ExitUsage, "--tls-ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, exitErrorf(ExitUsage, "--tls-ca: %s contains no certificate, must be a PEM file", file)
	}
	return pool, nil
}

// get decodes the response of a GET request into response.
func (c *client) get(path string, query map[string]string, response any) error {
	return c.call(fasthttp.MethodGet, path, query, nil, response)
}

// post sends body and decodes the response. All changes of the API are idempotent, so
// the next address is tried even if the first response was lost.
func (c *client) post(path string, query map[string]string, body []byte, response any) error {
	return c.call(fasthttp.MethodPost, path, query, body, response)
}

// call tries the addresses in order. If all fail, the exit code is ExitUnknown if one of
// them may have executed a POST, ExitUnavailable otherwise.
func (c *client) call(method, path string, query map[string]string, body []byte, response any) error {
	var lastErr error
	maybeApplied := false
	for _, addr := range c.addrs {
		status, text, err := c.roundTrip(method, addr, path, query, body)
		if err == nil && status == fasthttp.StatusOK {
			return decodeResponse(addr, text, response)
		}
		if err == nil && status != fasthttp.StatusServiceUnavailable {
			return apiError(addr, status, text)
		}
		if err == nil {
			err = apiError(addr, status, text)
		}
		maybeApplied = maybeApplied || (method == fasthttp.MethodPost && !dialFailed(err))
		lastErr = errors.CombineErrors(errors.Wrap(err, addr), lastErr)
	}
	if maybeApplied {
		return exitErrorf(ExitUnknown, "the change may have been made, run the same command again: %v", lastErr)
	}
	return exitErrorf(ExitUnavailable, "%v", lastErr)
}

func decodeResponse(addr string, text []byte, response any) error {
	if err := json.Unmarshal(text, response); err != nil {
		return exitErrorf(ExitUnavailable, "%s: the response is not valid JSON: %v", addr, err)
	}
	return nil
}

// dialFailed reports whether the connection failed before any byte of the request was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.Is(err, fasthttp.ErrDialTimeout) || (errors.As(err, &op) && op.Op == "dial")
}

// roundTrip sends one request to addr and returns the status and the body of the response.
func (c *client) roundTrip(method, addr, path string, query map[string]string, body []byte) (int, []byte, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.Header.SetMethod(method)
	request.SetRequestURI(c.scheme + "://" + addr + adminapi.PathPrefix + path)
	for name, value := range query {
		request.URI().QueryArgs().Set(name, value)
	}
	request.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	request.SetBody(body)
	if err := c.http.DoTimeout(request, response, c.timeout); err != nil {
		return 0, nil, err
	}
	return response.StatusCode(), append([]byte(nil), response.Body()...), nil
}

// apiError returns the error for a response with an error status. Only that of status 503
// has no exit code, because call then tries the next address.
func apiError(addr string, status int, text []byte) error {
	var body adminapi.Error
	message := "no reason given"
	if json.Unmarshal(text, &body) == nil && body.Error.Message != "" {
		message = body.Error.Message
	}
	switch status {
	case fasthttp.StatusUnauthorized:
		return exitErrorf(ExitUnauthorized, "%s: the key is not accepted: %s", addr, message)
	case fasthttp.StatusServiceUnavailable:
		return errors.New(message)
	}
	return exitErrorf(ExitRefused, "%s: status %d: %s", addr, status, message)
}

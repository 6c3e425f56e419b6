package httpcall

import (
	"bufio"
	"net/http"

	"github.com/cockroachdb/errors"
)

// The classes of status codes, RFC 9110, section 15.
const (
	minInterimStatus = 100
	minFinalStatus   = 200
	maxStatus        = 599
)

// The causes of calls whose response has no status that HTTP defines, or one that this client did not
// ask for.
var (
	errInvalidStatus  = errors.New("invalid status of the response")
	errFramedInterim  = errors.New("interim response with a body")
	errInvalidVersion = errors.New("response does not begin with a version and a status")
)

// isFinal reports whether a status is that of the response, not of an interim one before it. It returns an
// error for a status outside of the defined classes and for 101: no request asks for another protocol.
func isFinal(status int) (bool, error) {
	switch {
	case status < minInterimStatus || status > maxStatus || status == http.StatusSwitchingProtocols:
		return false, errors.Wrapf(errInvalidStatus, "%03d", status)
	default:
		return status >= minFinalStatus, nil
	}
}

// checkInterim returns an error for an interim response that announces a body. It can't have one, so
// what follows would be read as the next response.
func checkInterim(resp *http.Response) error {
	if resp.Header.Get("Content-Length") != "" || len(resp.TransferEncoding) > 0 || resp.Header.Get("Transfer-Encoding") != "" {
		return errors.Wrapf(errFramedInterim, "%d", resp.StatusCode)
	}
	return nil
}

// statusLinePrefix is the form of the beginning of a status line; 0 stands for any digit.
const statusLinePrefix = "HTTP/0.0 000"

// skipInterim reads the interim responses before a response, and returns an error if its status is
// invalid: fasthttp takes 000 for 200, and every interim response but 100 for the response.
func skipInterim(r *bufio.Reader) error {
	for {
		line, err := r.Peek(len(statusLinePrefix))
		if err != nil {
			return err
		}
		status, err := parseStatus(line)
		if err != nil {
			return err
		}
		final, err := isFinal(status)
		if err != nil || final {
			return err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		if err := checkInterim(resp); err != nil {
			return err
		}
	}
}

// parseStatus returns the status of the beginning of a status line.
func parseStatus(line []byte) (int, error) {
	status := 0
	for i, want := range []byte(statusLinePrefix) {
		isDigit := line[i] >= '0' && line[i] <= '9'
		if want == '0' && !isDigit || want != '0' && line[i] != want {
			return 0, errors.Wrapf(errInvalidVersion, "%q", line)
		}
		if i >= len(statusLinePrefix)-3 {
			status = 10*status + int(line[i]-'0')
		}
	}
	return status, nil
}

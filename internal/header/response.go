package header

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidResponse marks the error of a response that HTTP doesn't allow. Its server may have run
// the request.
var ErrInvalidResponse = errors.New("invalid response")

const (
	minStatus = 100
	// maxStatus is the highest status of a class that HTTP defines. http.ReadResponse takes any
	// number of three digits, and also a sign in place of a digit.
	maxStatus = 599
)

// Do sends a request and returns the last response to it. One that HTTP doesn't allow is an error,
// and its connection isn't used again.
func Do(c *http.Client, q *http.Request) (*http.Response, error) {
	r, err := c.Do(q)
	if err != nil {
		return nil, err
	}
	err = CheckResponse(r)
	if err == nil {
		err = checkBody(r)
	}
	if err != nil {
		_ = r.Body.Close()
		if r.Body == http.NoBody {
			// The connection is idle already.
			c.CloseIdleConnections()
		}
		return nil, err
	}
	return r, nil
}

// IsInvalid reports whether the error of a response is that HTTP doesn't allow it, and not that its
// connection broke.
func IsInvalid(err error) bool {
	if err == nil || errors.Is(err, ErrInvalidResponse) {
		return err != nil
	}
	// The errors of http.ReadResponse have no type.
	s := err.Error()
	return strings.Contains(s, "malformed") || strings.Contains(s, "Content-Length") || strings.Contains(s, "transfer encoding")
}

// IsStatus reports whether HTTP allows the status in the last response to a request. 101 isn't,
// as nobody in the system asks for another protocol.
func IsStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// CheckInterim returns an error unless the response is one to be skipped before the last one.
func CheckInterim(r *http.Response) error {
	if err := checkStatusLine(r); err != nil {
		return err
	}
	if r.StatusCode < minStatus || r.StatusCode >= http.StatusOK || r.StatusCode == http.StatusSwitchingProtocols {
		return invalidResponse("status %q in an interim response", r.Status)
	}
	return nil
}

// CheckResponse returns an error if HTTP doesn't allow the response as the last one to a request.
// http.ReadResponse refuses other faults, such as two different lengths.
func CheckResponse(r *http.Response) error {
	if err := checkStatusLine(r); err != nil {
		return err
	}
	if !IsStatus(r.StatusCode) {
		return invalidResponse("status %q in the last response", r.Status)
	}
	return nil
}

// checkBody returns an error if a response announces a body that its status forbids. http.Client
// drops the body and closes its connection, so that it can't be seen there whether it was sent.
func checkBody(r *http.Response) error {
	isNoContent := r.StatusCode == http.StatusNoContent
	// 304 may have a length, which is that of the body that the caller has.
	if (isNoContent || r.StatusCode == http.StatusNotModified) && len(r.TransferEncoding) > 0 || isNoContent && !isZero(r.Header["Content-Length"]) {
		return BodyForbidden(r)
	}
	return nil
}

// checkStatusLine checks what CheckInterim and CheckResponse have in common.
func checkStatusLine(r *http.Response) error {
	isHTTP2 := r.TLS != nil && r.TLS.NegotiatedProtocol == "h2"
	// Responses that weren't read from a connection have neither a version nor a status line.
	if r.ProtoMajor != 1 && !isHTTP2 && r.Proto != "" {
		return invalidResponse("protocol version %q", r.Proto)
	}
	if r.Status == "" {
		return nil
	}
	if digits, _, _ := strings.Cut(r.Status, " "); len(digits) != 3 || strings.Trim(digits, "0123456789") != "" {
		return invalidResponse("status %q", r.Status)
	}
	return nil
}

// BodyForbidden returns the error of a response whose body arrived though its status forbids one.
func BodyForbidden(r *http.Response) error { return invalidResponse("status %q with a body", r.Status) }

func invalidResponse(format string, args ...any) error {
	return errors.Mark(errors.Newf(format, args...), ErrInvalidResponse)
}

// isZero reports whether the lengths are absent or 0.
func isZero(lengths []string) bool {
	for _, l := range lengths {
		if strings.Trim(l, "0") != "" {
			return false
		}
	}
	return true
}

package forwarder

import (
	"net/http"
	"strconv"
	"strings"
)

// refusedEncoding returns an encoding of the response's body for which the caller hasn't
// asked, or "". Such a body isn't the one that the endpoint has signed.
func (a *attempt) refusedEncoding() string {
	for _, v := range a.response.Header["Content-Encoding"] {
		for e := range strings.SplitSeq(v, ",") {
			e = strings.TrimSpace(e)
			if e != "" && !strings.EqualFold(e, "identity") && !acceptsEncoding(a.call.header, e) {
				return e
			}
		}
	}
	return ""
}

// acceptsEncoding reports whether the headers of a request name the encoding as acceptable.
func acceptsEncoding(h http.Header, encoding string) bool {
	for _, v := range h["Accept-Encoding"] {
		for accepted := range strings.SplitSeq(v, ",") {
			name, weight, _ := strings.Cut(accepted, ";")
			name = strings.TrimSpace(name)
			if (name == "*" || strings.EqualFold(name, encoding)) && !isZeroWeight(weight) {
				return true
			}
		}
	}
	return false
}

// isZeroWeight reports whether the parameter is a weight of 0.
func isZeroWeight(parameter string) bool {
	_, v, ok := strings.Cut(parameter, "=")
	q, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	return ok && err == nil && q == 0
}

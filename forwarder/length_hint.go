package forwarder

import (
	"net/http"
	"strconv"
)

// lengthHint returns the caller's estimate of the length of the answer in tokens; 0 if there is
// none. One that isn't a single decimal number is ignored: it says nothing about the answer, and
// the endpoint gets it as it is.
func (n *Headers) lengthHint(h http.Header) int {
	if n.LengthHint == "" {
		return 0
	}
	l := h[n.LengthHint]
	if len(l) != 1 {
		return 0
	}
	k, err := strconv.ParseUint(l[0], 10, 64)
	if err != nil {
		return 0
	}
	return int(min(k, maxTokens))
}

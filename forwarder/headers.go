package forwarder

import (
	"net/http"
	"strings"
)

// Headers holds the canonical names of the headers exchanged with callers and
// endpoints.
type Headers struct {
	// RequestID identifies the request; endpoints return it in the response.
	RequestID string
	// Deadline is the time to the deadline in milliseconds.
	Deadline string
	// Instance and Version name the instance and the version of the weights that an
	// attempt requires; an endpoint that doesn't match refuses it.
	Instance, Version string
	// Account is the client account; only the gateway sets it.
	Account string
	// Urgency is the urgency of an attempt; 0 is the most urgent. Only the gateway sets it, and
	// only if requests to the service differ in priority.
	Urgency string
	// Signature is present in each successful response that an endpoint has generated.
	Signature string
	// NotRun marks the refusal of a request that the endpoint hasn't run.
	NotRun string
	// Cold is the time in milliseconds until the endpoint is warm.
	Cold string
	// Tokens holds the number of prompt tokens and the maximum number of response
	// tokens, separated by a comma.
	Tokens string
	// LengthHint is the caller's estimate of the number of response tokens; empty for a platform
	// without one.
	LengthHint string
	// ResumeFrom is the id of the last event that the caller has received.
	ResumeFrom string
	// PromptParts lists the parts of the prompt in order, as ID:TOKENS entries separated by
	// commas. Requests share parts, but for the last one.
	PromptParts string
}

// lineOverhead is the size of a header line without its name and value.
const lineOverhead = len(": \r\n")

// headerBytes returns the size of headers in the form in which they are usually sent. It doesn't
// include the Host header.
func headerBytes(h http.Header) int64 {
	n := 0
	for k, values := range h {
		for _, v := range values {
			n += len(k) + len(v) + lineOverhead
		}
	}
	return int64(n)
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length",
}

// removeHopByHopHeaders removes the hop-by-hop headers, including those that the
// Connection header names.
func removeHopByHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for n := range strings.SplitSeq(v, ",") {
			h.Del(strings.TrimSpace(n))
		}
	}
	for _, n := range hopByHopHeaders {
		delete(h, n)
	}
}

// outgoing returns the request headers for the endpoint: without hop-by-hop headers,
// the caller's key and the headers that only the gateway may set, and with the client
// account.
func (n *Headers) outgoing(in http.Header, account string) http.Header {
	h := in.Clone()
	removeHopByHopHeaders(h)
	for _, k := range []string{"Authorization", "Expect", n.Instance, n.Version, n.Account, n.Urgency, n.Deadline} {
		delete(h, k)
	}
	if account != "" {
		h[n.Account] = []string{account}
	}
	return h
}

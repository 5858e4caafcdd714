package forwarder

import (
	"net/http"
	"strings"
)

// Headers holds the canonical names of the headers on both sides.
type Headers struct {
	// RequestID identifies the request; endpoints echo it.
	RequestID string
	// Deadline is the time left in milliseconds.
	Deadline string
	// Instance and Version pin an attempt to an instance and a version of the
	// weights; others refuse it.
	Instance, Version string
	// Account is the client account, set by the gateway only.
	Account string
	// Urgency is set by the gateway only.
	Urgency string
	// Signature marks an answer of an endpoint.
	Signature string
	// NotRun marks a refusal of an endpoint that ran nothing.
	NotRun string
	// Cold is the time in milliseconds for which the endpoint stays cold.
	Cold string
	// Tokens holds the numbers of tokens of the prompt and, at most, of the answer,
	// with a comma between them.
	Tokens string
	// ResumeFrom is the id of the last event that the caller has.
	ResumeFrom string
}

// hopByHopHeaders concern one connection only.
var hopByHopHeaders = [...]string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Te", "Trailer", "Upgrade",
	"Proxy-Authenticate", "Proxy-Authorization", "Content-Length",
}

// removeHopByHopHeaders removes the headers of one connection, also those that it names.
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

// outgoing returns the headers for the endpoint, without those of an attempt.
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

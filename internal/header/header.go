// Package header defines the HTTP headers that gateways, agents and engines exchange.
package header

import (
	"net/http"
	"strconv"
	"time"
)

// Request headers. Responses between processes of the system repeat RequestID.
const (
	RequestID      = "Eelgrass-Request-Id"
	Version        = "Eelgrass-Version"
	DeadlineMS     = "Eelgrass-Deadline-Ms"
	Account        = "Eelgrass-Account"
	Priority       = "Eelgrass-Priority"
	Revision       = "Eelgrass-Revision"
	ResumeFrom     = "Eelgrass-Resume-From"
	Hops           = "Eelgrass-Hops"
	CallerID       = "X-Request-Id"
	IdempotencyKey = "Idempotency-Key"
	RetryAfter     = "Retry-After"
)

// Response headers.
const (
	Outcome  = "Eelgrass-Outcome"
	Reason   = "Eelgrass-Reason"
	State    = "Eelgrass-State"
	BootID   = "Eelgrass-Boot-Id"
	Limit    = "Eelgrass-Limit"
	InFlight = "Eelgrass-In-Flight"
	Endpoint = "Eelgrass-Endpoint"
	Winner   = "Eelgrass-Winner"
)

// Values of the Outcome header.
const (
	Run     = "run"
	NotRun  = "not-run"
	Failed  = "failed"
	Unknown = "unknown"
)

// SetIdempotencyKey sets the key under a non-canonical name that http.Transport does
// not recognize: with "Idempotency-Key" the transport retries a request whose
// connection broke, and a call would run twice. Receivers see the canonical name.
func SetIdempotencyKey(h http.Header, key string) { h["idempotency-key"] = []string{key} }

// Int returns the integer in a header, or missing if the header is absent or not an
// integer.
func Int(h http.Header, name string, missing int) int {
	n, err := strconv.Atoi(h.Get(name))
	if err != nil {
		return missing
	}
	return n
}

// Remaining returns the time left for a request according to DeadlineMS, at most
// limit. Without a valid header it returns limit.
func Remaining(h http.Header, limit time.Duration) time.Duration {
	n, err := strconv.ParseInt(h.Get(DeadlineMS), 10, 64)
	if err != nil || n > limit.Milliseconds() {
		return limit
	}
	return time.Duration(max(n, -limit.Milliseconds())) * time.Millisecond
}

// SetRetryAfter sets Retry-After to d, rounded up to whole seconds and at least one.
func SetRetryAfter(h http.Header, d time.Duration) {
	s := int64((d + time.Second - 1) / time.Second)
	h.Set(RetryAfter, strconv.FormatInt(max(s, 1), 10))
}

// MaxResponseBytes limits the headers of a response at all clients. A faulty server may send
// headers without end, to many calls at the same time.
const MaxResponseBytes = 64 << 10

// Package problem reports failures to callers as application/problem+json.
package problem

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Problem describes the outcome of a failed request to its caller.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	// Detail describes the operation that failed and its object.
	Detail string `json:"detail,omitempty"`
	// Outcome is one of not-run, failed, unknown.
	Outcome string `json:"outcome"`
	// RequestID is the ID that a caller quotes when it reports the failure.
	RequestID string `json:"request-id,omitempty"`
	// RetryAfter is the time to wait before a retry; 0 omits the header.
	RetryAfter time.Duration `json:"-"`
}

// New returns a problem whose title is the standard text of the status.
func New(status int, outcome, detail string) Problem {
	return Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Outcome: outcome, Detail: detail}
}

// Encode returns the problem as JSON.
func (p Problem) Encode() []byte {
	b, _ := json.Marshal(p)
	return b
}

// Write sends the problem as the complete response, with its headers and status.
func (p Problem) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", ContentType)
	h.Set(header.Outcome, p.Outcome)
	if p.RetryAfter > 0 {
		header.SetRetryAfter(h, p.RetryAfter)
	}
	w.WriteHeader(p.Status)
	_, _ = w.Write(p.Encode())
}

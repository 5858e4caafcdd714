package observer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "read operators from peer".
	Op string
	// Kind classifies the failure.
	Kind classifier.Kind
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Class returns the kind of the failure.
func (e *Error) Class() classifier.Kind { return e.Kind }

// tableHeader names the table of a response, so that another response isn't taken for it.
const tableHeader = "Eelgrass-Table"

// Handler serves tables to peers: GET /v1/tables/{name}?from=N&wait-ms=N&packed=1&epoch=N. Without
// packed, large values aren't compressed. If the epoch of the reader is lower than that of the
// table, the response is the whole table; if it is higher, the table isn't used. Its fields are set before the first request, and the
// maps aren't changed.
type Handler struct {
	// Tables holds the tables by the name under which they are served.
	Tables map[string]*Table
	// Views holds the views by name; a view takes precedence over a table of that name.
	Views map[string]*View

	packer packer
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	name := q.PathValue("name")
	t, view := h.Tables[name], h.Views[name]
	if view != nil {
		t = view.Table
	}
	if t == nil {
		http.NotFound(w, q)
		return
	}
	from, err := strconv.ParseUint(q.FormValue("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not a number", http.StatusBadRequest)
		return
	}
	ms, err := strconv.Atoi(q.FormValue("wait-ms"))
	if err != nil {
		http.Error(w, "wait-ms is not a number", http.StatusBadRequest)
		return
	}
	// Processes of older versions send no epoch.
	epoch, _ := strconv.ParseUint(q.FormValue("epoch"), 10, 64)
	if wait := time.Duration(ms) * time.Millisecond; wait > 0 && t.covers(from, epoch) {
		t.Wait(q.Context().Done(), wait)
	}
	c := t.since(from, epoch)
	if c.Epoch != 0 && c.Epoch < epoch {
		http.Error(w, "the epoch is higher than that of the table", http.StatusServiceUnavailable)
		return
	}
	if c.Next == 0 {
		http.Error(w, "nothing is known yet", http.StatusServiceUnavailable)
		return
	}
	if view != nil {
		view.shorten(c)
	}
	if q.FormValue("packed") == "1" {
		if err := h.packer.pack(name, c); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(tableHeader, name)
	// If the write fails, the peer fails to decode the response and asks the next peer.
	_ = json.NewEncoder(w).Encode(c)
}

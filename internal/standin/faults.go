package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxFaults bounds the body of PUT /faults in bytes.
const maxFaults = 64 << 10

// The values of an outage.
const (
	// Refuse answers each request at once with 503.
	Refuse Outage = "refuse"
	// Hang holds each request until the outage ends or the client gives up.
	Hang Outage = "hang"
	// Drop closes the connection without an answer.
	Drop Outage = "drop"
)

// Outage tells how a stand-in that is down treats requests; empty means that
// it is up.
type Outage string

// Check reports a value that is not allowed.
func (o Outage) Check() error {
	switch o {
	case "", Refuse, Hang, Drop:
		return nil
	}
	return errors.Newf("field outage: %q is not one of refuse, hang, drop", string(o))
}

// Checker is a value that validates itself.
type Checker interface {
	Check() error
}

// CheckShare reports a share that is not in 0 to 1.
func CheckShare(field string, v float64) error {
	if v >= 0 && v <= 1 {
		return nil
	}
	return errors.Newf("field %s: %v is not in 0 to 1", field, v)
}

// CheckCount reports a negative count or time.
func CheckCount[T ~int | ~int64](field string, v T) error {
	if v < 0 {
		return errors.Newf("field %s: %v is below 0", field, v)
	}
	return nil
}

// ParseFaults reads faults from JSON; empty text means no faults.
func ParseFaults[T Checker](text string) (T, error) {
	var v T
	if strings.TrimSpace(text) == "" {
		return v, nil
	}
	if err := recorder.DecodeStrict([]byte(text), &v); err != nil {
		return v, &Error{Op: "decode faults", Kind: classifier.Invalid, Err: err}
	}
	if err := v.Check(); err != nil {
		return v, &Error{Op: "decode faults", Kind: classifier.Invalid, Err: err}
	}
	return v, nil
}

// HandleFaults adds GET /faults and PUT /faults to m. A PUT replaces all faults;
// a field that is left out is no fault.
func HandleFaults[T Checker](m *http.ServeMux, get func() T, set func(T)) {
	m.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) {
		Reply(w, http.StatusOK, get())
	})
	m.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxFaults))
		if err != nil {
			ReplyError(w, http.StatusRequestEntityTooLarge, err.Error())
			return
		}
		v, err := ParseFaults[T](string(b))
		if err != nil {
			ReplyError(w, http.StatusBadRequest, err.Error())
			return
		}
		set(v)
		Reply(w, http.StatusOK, get())
	})
}

// Reply writes v as JSON with a Content-Length.
func Reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(b, '\n'))
}

// ReplyError writes an error in the form that the clients in connector read.
func ReplyError(w http.ResponseWriter, status int, text string) {
	Reply(w, status, struct {
		Error string `json:"error"`
	}{text})
}

package explainer

import (
	"bufio"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// backgroundWindow is how long before a request its background begins: the time in
// which a version is distributed and a leaving endpoint drains.
const backgroundWindow = 10 * time.Second

// maxLineBytes limits the length of one line in bytes.
const maxLineBytes = 1 << 20

// Error is the error type of this package.
type Error struct {
	// Op is the operation that failed, for example "read log".
	Op string
	// Kind is NotFound if no line has the request's id.
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

// backgroundEvents lists the events that record what a process knew of the system.
var backgroundEvents = []string{
	"configuration-applied", "configuration-older", "record-refused", "version-named", "failure-domain-evacuated", "record-dropped",
	"source-lost", "source-regained", "endpoint-changed", "endpoint-gone", "endpoint-leaving", "endpoint-paused", "endpoint-entry-refused", "start", "stop", "stopped",
	"load-ordered", "version-loaded", "load-failed", "fetch-failed", "engine-lost", "engine-found", "log-lines-dropped",
	"request-held", "request-released", "trial-claimed", "trial-not-claimed", "released-by-operator",
	"slots-reserved", "slots-released", "endpoint-recovered",
}

// Timeline holds the log lines of one request and its background, ordered by time.
type Timeline struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`
}

// Explain reads logs and returns the timeline of a request. The error is of kind
// NotFound if no line has its id.
func Explain(request string, logs ...io.Reader) (*Timeline, error) {
	var all []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			if l, ok := Parse(s.Text()); ok && (l.Field("request") == request || slices.Contains(backgroundEvents, l.Event)) {
				all = append(all, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, &Error{Op: "read log", Kind: classifier.Invalid, Err: err}
		}
	}
	return buildTimeline(request, all)
}

func buildTimeline(request string, all []Line) (*Timeline, error) {
	s := &Timeline{Request: request}
	var first, last time.Time
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, l := range all {
		if l.Field("request") != request {
			continue
		}
		l.Note = l.note()
		s.Lines = append(s.Lines, l)
		instances[l.Instance] = true
		endpoints[l.Field("endpoint")] = true
		if first.IsZero() || l.Time.Before(first) {
			first = l.Time
		}
		if l.Time.After(last) {
			last = l.Time
		}
	}
	if len(s.Lines) == 0 {
		return nil, &Error{Op: "explain " + request, Kind: classifier.NotFound, Err: errors.New("no line of the logs carries this id")}
	}
	delete(endpoints, "")
	for _, l := range all {
		if l.Field("request") == request || l.Time.Before(first.Add(-backgroundWindow)) || l.Time.After(last) {
			continue
		}
		if isBackground(&l, instances, endpoints) {
			l.Background = true
			s.Lines = append(s.Lines, l)
		}
	}
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return s, nil
}

// isBackground reports whether a line is from a process that handled the request. A
// line about an endpoint counts only if the request reached it or reached none.
func isBackground(l *Line, instances, endpoints map[string]bool) bool {
	if !instances[l.Instance] {
		return false
	}
	e := l.Field("endpoint")
	return e == "" || len(endpoints) == 0 || endpoints[e]
}

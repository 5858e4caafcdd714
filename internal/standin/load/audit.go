package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/service"
)

// Audit compares what callers of bookings were told with what was executed.
type Audit struct {
	// Executions counts the executions of this run's bookings.
	Executions int `json:"executions"`
	// Repeated counts bookings that were executed more than once.
	Repeated int `json:"repeated"`
	// RunThoughRefused counts bookings that were refused and executed.
	RunThoughRefused int `json:"run-though-refused"`
	// AnsweredNotRun counts bookings with a whole answer and no execution.
	AnsweredNotRun int `json:"answered-not-run"`
	// UnknownRun and UnknownNotRun count bookings without a final answer.
	UnknownRun    int `json:"unknown-run"`
	UnknownNotRun int `json:"unknown-not-run"`
}

// Sound reports whether no caller was told something wrong.
func (a *Audit) Sound() bool {
	return a.Repeated == 0 && a.RunThoughRefused == 0 && a.AnsweredNotRun == 0
}

// String returns one line.
func (a *Audit) String() string {
	return fmt.Sprintf("bookings: executions=%d repeated=%d run-though-refused=%d answered-not-run=%d unknown-run=%d unknown-not-run=%d",
		a.Executions, a.Repeated, a.RunThoughRefused, a.AnsweredNotRun, a.UnknownRun, a.UnknownNotRun)
}

// compare sums up the executions of each key over all services.
func compare(calls map[string]Outcome, executions map[string]int) *Audit {
	a := new(Audit)
	for key, o := range calls {
		n := executions[key]
		a.Executions += n
		if n > 1 {
			a.Repeated++
		}
		switch {
		case o == Refused && n > 0:
			a.RunThoughRefused++
		case o == Whole && n == 0:
			a.AnsweredNotRun++
		case o != Whole && o != Refused && n > 0:
			a.UnknownRun++
		case o != Whole && o != Refused:
			a.UnknownNotRun++
		}
	}
	return a
}

// readExecutions reads the executions of each key from the statistics of services.
func readExecutions(ctx context.Context, c *http.Client, urls []string) (map[string]int, error) {
	out := map[string]int{}
	for _, u := range urls {
		s, err := readStats(ctx, c, u)
		if err != nil {
			return nil, &standin.Error{Op: "read " + u, Kind: classifier.Unavailable, Err: err}
		}
		for k, n := range s.Keys {
			out[k] += n
		}
	}
	return out, nil
}

func readStats(ctx context.Context, c *http.Client, url string) (service.Stats, error) {
	var s service.Stats
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return s, errors.WithStack(err)
	}
	r, err := c.Do(q)
	if err != nil {
		return s, err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return s, errors.Newf("status %d", r.StatusCode)
	}
	return s, json.NewDecoder(r.Body).Decode(&s)
}

package guarder

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/header"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// intentState is what a process did with one of its operations.
type intentState string

const (
	// stateRunning: the call runs, or may run once its intent is read from the log.
	stateRunning intentState = "running"
	// stateDone: the answer of the run is attached.
	stateDone intentState = "done"
	// stateNotRun: the call was not run and this process permanently refuses it.
	stateNotRun intentState = "not-run"
	// stateUnknown: the call may have run, and there is no answer.
	stateUnknown intentState = "unknown"
)

// intentStatus is the response to GET /v1/intents/{key-digest}.
type intentStatus struct {
	// BootID is that of the process that responds. If it differs from the boot id
	// of the intent, the process of the intent has ended.
	BootID    string               `json:"boot-id"`
	Operation recorder.OperationID `json:"operation"`
	State     intentState          `json:"state"`
	// Answer is set with stateDone only.
	Answer *Answer `json:"answer,omitempty"`
}

// intentStatus returns the status of an operation of this process.
func (g *Guard) intentStatus(id recorder.OperationID) intentStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	v := intentStatus{BootID: g.BootID, Operation: id, State: stateUnknown}
	o := g.operations[id]
	if o == nil {
		return v
	}
	switch o.state {
	case waiting, won, started:
		v.State = stateRunning
	case lost, refused:
		v.State = stateNotRun
	case finished:
		if o.answer != nil {
			v.State, v.Answer = stateDone, o.answer
		}
	}
	return v
}

// Handler serves GET /v1/intents/{key-digest}?operation=ID&boot-id=ID to the
// other agents of the service.
func (g *Guard) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/intents/{key}", func(w http.ResponseWriter, q *http.Request) {
		id, err := uuid.Parse(q.FormValue("operation"))
		key, keyErr := recorder.ParseDigest(q.PathValue("key"))
		if err != nil || keyErr != nil {
			http.Error(w, "a key digest and an operation id are needed", http.StatusBadRequest)
			return
		}
		v := intentStatus{BootID: g.BootID, Operation: id, State: stateUnknown}
		if q.FormValue("boot-id") == g.BootID && g.owns(id, key) {
			v = g.intentStatus(id)
		}
		w.Header().Set("Content-Type", "application/json")
		b, err := json.Marshal(v)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(b)
	})
	return m
}

// owns reports whether this process has the operation and it is for the key.
func (g *Guard) owns(id recorder.OperationID, key recorder.Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	o := g.operations[id]
	return o != nil && o.key == key
}

// queryWinner asks the process of a winning intent for the status of its
// operation.
func (g *Guard) queryWinner(ctx context.Context, key recorder.Digest, id recorder.OperationID, h processRef) (intentStatus, error) {
	const op = "ask winner"
	fail := func(k classifier.Kind, err error) (intentStatus, error) {
		return intentStatus{}, &Error{Op: op, Kind: k, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, DefaultTimeout)
	defer cancel()
	u := fmt.Sprintf("%s://%s/v1/intents/%s?operation=%s&boot-id=%s", g.Scheme, h.Address, key, id, url.QueryEscape(h.BootID))
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, u, http.NoBody)
	if err != nil {
		return fail(classifier.Internal, err)
	}
	r, err := header.Do(g.Client, q)
	if err != nil {
		return fail(classifier.OutcomeUnknown, err)
	}
	defer func() { _ = r.Body.Close() }()
	// Base64 and JSON escapes make the response larger than the answer.
	limit := int64(2*g.MaxAnswer + 4<<10)
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil || r.StatusCode != http.StatusOK || int64(len(b)) > limit {
		return fail(classifier.OutcomeUnknown, errors.Newf("status %d, %d bytes, error %v", r.StatusCode, len(b), err))
	}
	var v intentStatus
	if err := recorder.DecodeStrict(b, &v); err != nil {
		return fail(classifier.OutcomeUnknown, err)
	}
	if v.BootID != h.BootID || v.Operation != id {
		return fail(classifier.OutcomeUnknown, errors.Newf("another process answers: boot id %q in place of %q", v.BootID, h.BootID))
	}
	if (v.State == stateDone) != (v.Answer != nil) {
		return fail(classifier.OutcomeUnknown, errors.Newf("state %q with answer %t", v.State, v.Answer != nil))
	}
	if v.Answer != nil && !header.IsStatus(v.Answer.Status) {
		return fail(classifier.OutcomeUnknown, errors.Newf("answer with status %d", v.Answer.Status))
	}
	return v, nil
}

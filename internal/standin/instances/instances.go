package instances

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// maxBody bounds a registration in bytes.
	maxBody = 16 << 10
	// maxServes bounds the field serves: "service/" and a name.
	maxServes = 80
	maxWait   = time.Minute
)

// Instances is the list. Exported fields are set before the first call.
type Instances struct {
	standin.Server
	// Lag is the time after which a change becomes visible.
	Lag time.Duration
	// Start holds the faults in force at the start.
	Start Faults
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	once sync.Once
	mux  *http.ServeMux
	gate standin.Gate[Faults]

	mu    sync.Mutex
	table table
	// changed is closed at the next registration or removal.
	changed chan struct{}
}

// Run serves until ctx ends.
func (n *Instances) Run(ctx context.Context) error { return n.Serve(ctx, n) }

// SetFaults replaces the faults.
func (n *Instances) SetFaults(f Faults) {
	n.once.Do(n.prepare)
	n.gate.Set(f)
}

// ServeHTTP implements http.Handler.
func (n *Instances) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n.once.Do(n.prepare)
	n.mux.ServeHTTP(w, r)
}

func (n *Instances) prepare() {
	if n.Now == nil {
		n.Now = time.Now
	}
	n.changed = make(chan struct{})
	n.gate.Set(n.Start)
	n.mux = http.NewServeMux()
	n.mux.HandleFunc("GET /v1/instances", n.poll)
	n.mux.HandleFunc("PUT /v1/instances/{name}", n.register)
	n.mux.HandleFunc("DELETE /v1/instances/{name}", n.remove)
	standin.HandleFaults(n.mux, n.gate.Get, n.SetFaults)
}

// Put registers an instance; state gone removes it.
func (n *Instances) Put(i connector.Instance) {
	n.once.Do(n.prepare)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.put(n.Now(), i)
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Instances) register(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		standin.ReplyError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var i connector.Instance
	if err := recorder.DecodeStrict(b, &i); err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	if i.Name != recorder.Name(r.PathValue("name")) {
		standin.ReplyError(w, http.StatusBadRequest, "field name: differs from the path")
		return
	}
	if err := check(i); err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	n.Put(i)
	w.WriteHeader(http.StatusNoContent)
}

func check(i connector.Instance) error {
	for _, f := range []struct {
		field string
		name  recorder.Name
	}{{"name", i.Name}, {"failure-domain", i.FailureDomain}, {"region", i.Region}} {
		if err := f.name.Check(); err != nil {
			return errors.Wrap(err, "field "+f.field)
		}
	}
	switch {
	case i.Kind != connector.GatewayInstance && i.Kind != connector.AgentInstance:
		return errors.Newf("field kind: %q is not one of gateway, agent", string(i.Kind))
	case i.State != connector.InstanceLive && i.State != connector.InstanceLeaving:
		return errors.Newf("field state: %q is not one of live, leaving", string(i.State))
	case !i.Address.IsValid():
		return errors.New("field address: an IP address and a port are needed")
	case len(i.Serves) > maxServes:
		return errors.Newf("field serves: %d bytes; at most %d are allowed", len(i.Serves), maxServes)
	}
	return nil
}

func (n *Instances) remove(w http.ResponseWriter, r *http.Request) {
	name := recorder.Name(r.PathValue("name"))
	if err := name.Check(); err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	n.Put(connector.Instance{Name: name, State: connector.InstanceGone})
	w.WriteHeader(http.StatusNoContent)
}

func (n *Instances) poll(w http.ResponseWriter, r *http.Request) {
	since, err := parseSince(r.URL.Query().Get("since"))
	if err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	wait, err := standin.ParseWait(r.URL.Query(), maxWait)
	if err != nil {
		standin.ReplyError(w, http.StatusBadRequest, err.Error())
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		_, faults := n.gate.Watch()
		if !n.gate.Pass(w, r, func(f Faults) standin.Outage { return f.Outage }) {
			return
		}
		l, due, changed := n.look(since)
		if l.Full || l.Version > since || wait <= 0 {
			if standin.Sleep(r.Context(), n.gate.Get().Delay.Std()) {
				standin.Reply(w, http.StatusOK, l)
			}
			return
		}
		select {
		case <-due:
		case <-changed:
		case <-faults:
		case <-t.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// look returns the visible changes since the version, a channel that fires when
// the next change becomes visible, and one that is closed at the next change.
func (n *Instances) look(since uint64) (l connector.InstanceList, due <-chan time.Time, changed <-chan struct{}) {
	f := n.gate.Get()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !f.Freeze {
		if d := n.table.advance(n.Now(), n.Lag+f.Lag.Std()); d > 0 {
			due = time.After(d)
		}
	}
	return n.table.since(since), due, n.changed
}

func parseSince(v string) (uint64, error) {
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(v, 10, 64)
	if err != nil {
		return 0, errors.Newf("parameter since: %q is not a number", v)
	}
	return n, nil
}

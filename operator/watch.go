package operator

import (
	"slices"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// watchPause is the least time between two comparisons of a watch. Endpoints
// report many times a second while they load, and a person reads slower.
const watchPause = 200 * time.Millisecond

// Watch sends the rollouts in progress and the endpoints as they are, and then
// every change. It ends when the caller does, and with an error when the
// operator's key is no longer declared.
func (s *Server) Watch(_ *operatorv1.WatchRequest, stream grpc.ServerStreamingServer[operatorv1.WatchResponse]) error {
	ctx := stream.Context()
	w := watch{send: stream.Send}
	pause := time.NewTimer(0)
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-pause.C:
		}
		changed := s.Changed()
		state, err := s.state("watch")
		if err != nil {
			return err
		}
		if _, err := s.authenticate(ctx); err != nil {
			return err
		}
		if err := w.step(state, s.endpoints()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
		pause.Reset(watchPause)
	}
}

// watch sends the differences between successive views.
type watch struct {
	send    func(*operatorv1.WatchResponse) error
	started bool
	// offset is the offset of the last State.
	offset    uint64
	rollouts  map[string]*operatorv1.Rollout
	endpoints map[endpointKey]*operatorv1.Endpoint
}

// endpointKey tells endpoints apart. Those of other failure domains have no
// name, so they are numbered among those that serve the same.
type endpointKey struct {
	instance, domain, serves string
	number                   int
}

func keyOf(e *operatorv1.Endpoint, unnamed map[endpointKey]int) endpointKey {
	if n := e.GetInstance(); n != "" {
		return endpointKey{instance: n}
	}
	k := endpointKey{domain: e.GetFailureDomain(), serves: e.GetServes()}
	unnamed[k]++
	k.number = unnamed[k]
	return k
}

func (w *watch) step(s *registrar.State, endpoints []*operatorv1.Endpoint) error {
	if err := w.stepOperations(s); err != nil {
		return err
	}
	if err := w.stepRollouts(s, endpoints); err != nil {
		return err
	}
	return w.stepEndpoints(endpoints)
}

// stepOperations sends the outcomes since the last step, oldest first.
func (w *watch) stepOperations(s *registrar.State) error {
	since := w.offset
	w.offset = s.Offset
	if !w.started {
		w.started = true
		return nil
	}
	var news []registrar.Outcome
	for i := len(s.Operations) - 1; i >= 0; i-- {
		for _, o := range slices.Backward(s.Operations[i]) {
			if o.Offset > since {
				news = append(news, o)
			}
		}
		if len(s.Operations[i]) > 0 && s.Operations[i][0].Offset <= since {
			break
		}
	}
	for _, o := range slices.Backward(news) {
		v := &operatorv1.WatchResponse{Event: &operatorv1.WatchResponse_Outcome{Outcome: outcomeOf(o, "")}}
		if err := w.send(v); err != nil {
			return err
		}
	}
	return nil
}

func (w *watch) stepRollouts(s *registrar.State, endpoints []*operatorv1.Endpoint) error {
	next := make(map[string]*operatorv1.Rollout)
	for _, r := range rollouts(s, func(r *registrar.Rollout) bool { return r.IsActive() || w.rollouts[string(r.Name)] != nil }) {
		v := rolloutOf(s, r, endpoints)
		if old := w.rollouts[v.GetName()]; old == nil || !proto.Equal(old, v) {
			if err := w.send(&operatorv1.WatchResponse{Event: &operatorv1.WatchResponse_Rollout{Rollout: v}}); err != nil {
				return err
			}
		}
		if r.IsActive() {
			next[v.GetName()] = v
		}
	}
	w.rollouts = next
	return nil
}

func (w *watch) stepEndpoints(endpoints []*operatorv1.Endpoint) error {
	next := make(map[endpointKey]*operatorv1.Endpoint, len(endpoints))
	unnamed := make(map[endpointKey]int)
	for _, e := range endpoints {
		k := keyOf(e, unnamed)
		next[k] = e
		if isSameState(w.endpoints[k], e) {
			continue
		}
		if err := w.send(&operatorv1.WatchResponse{Event: &operatorv1.WatchResponse_Endpoint{Endpoint: e}}); err != nil {
			return err
		}
	}
	for k, e := range w.endpoints {
		if next[k] != nil {
			continue
		}
		gone := &operatorv1.Endpoint{
			Instance: k.instance, FailureDomain: e.GetFailureDomain(), Serves: e.GetServes(), State: "gone",
		}
		if err := w.send(&operatorv1.WatchResponse{Event: &operatorv1.WatchResponse_Endpoint{Endpoint: gone}}); err != nil {
			return err
		}
	}
	w.endpoints = next
	return nil
}

// isSameState ignores load and progress, which change all the time.
func isSameState(a, b *operatorv1.Endpoint) bool {
	return a != nil && a.GetState() == b.GetState() && a.GetVersion() == b.GetVersion() &&
		a.GetMessage() == b.GetMessage() && a.GetServes() == b.GetServes() && a.GetFailureDomain() == b.GetFailureDomain()
}

package relayer

import (
	"math"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// soundRecord returns the body of a record and a snapshot of the state after it.
func soundRecord(f *testing.F) (record, snapshot []byte) {
	r := recorder.Record{Format: recorder.Format, Operation: uuid.UUID{1}, Author: "anna", Changes: []recorder.Change{
		{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "tanta", Region: "delta"}},
	}}
	record, err := r.Encode()
	if err != nil {
		f.Fatal(err)
	}
	s, _ := new(registrar.State).Apply(1, r)
	snapshot, err = s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	return record, snapshot
}

// fuzzReplica returns a replica that has applied one record.
func fuzzReplica(t *testing.T, record []byte) *follower.Replica {
	r := &follower.Replica{Log: zerolog.Nop()}
	if err := r.Apply(1, record); err != nil {
		t.Fatal(err)
	}
	return r
}

func marshal(f *testing.F, m proto.Message) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	return b
}

// checkKept fails the test if the replica went back, or its state can't be read again.
func checkKept(t *testing.T, r *follower.Replica) {
	t.Helper()
	s := r.Current()
	if s.Offset < 1 || s.FailureDomains["tanta"] == nil && s.Offset == 1 {
		t.Fatalf("the replica went back to offset %d", s.Offset)
	}
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if again, err := registrar.Restore(b); err != nil || again.Offset != s.Offset {
		t.Fatalf("the state can't be read again: %v", err)
	}
}

// checkRefusal fails the test unless the error has a kind, so that its receiver can tell a
// malformed message from a lost connection.
func checkRefusal(t *testing.T, err error) {
	t.Helper()
	var e *Error
	var g *registrar.Error
	var a *follower.Error
	if err != nil && !errors.As(err, &e) && !errors.As(err, &g) && !errors.As(err, &a) {
		t.Fatalf("refused with %T: %v", err, err)
	}
	if err != nil && classifier.Of(err) == classifier.Internal {
		t.Fatalf("refused as internal: %v", err)
	}
}

// Guards against a message of another gateway that ends this one, or takes the configuration
// back.
func FuzzExchangeMessage(f *testing.F) {
	record, snapshot := soundRecord(f)
	for _, m := range []*relayv1.ExchangeMessage{
		{Message: &relayv1.ExchangeMessage_Record{Record: &relayv1.Record{Offset: 2, Body: record}}},
		{Message: &relayv1.ExchangeMessage_Record{Record: &relayv1.Record{Offset: math.MaxUint64, Body: []byte(`{"format":2}`)}}},
		{Message: &relayv1.ExchangeMessage_Snapshot{Snapshot: &relayv1.Snapshot{Offset: 1, Body: snapshot}}},
		{Message: &relayv1.ExchangeMessage_Snapshot{Snapshot: &relayv1.Snapshot{Offset: 9, Body: snapshot}}},
		{Message: &relayv1.ExchangeMessage_Offset{Offset: math.MaxUint64}},
		{Message: &relayv1.ExchangeMessage_Detached{Detached: "e"}},
		{Message: &relayv1.ExchangeMessage_Status{Status: &relayv1.EndpointStatus{}}},
		{Message: &relayv1.ExchangeMessage_Summaries{Summaries: &relayv1.Summaries{}}},
		{Message: &relayv1.ExchangeMessage_Demand{Demand: &relayv1.Demand{}}},
		{Message: &relayv1.ExchangeMessage_Want{Want: &relayv1.Want{}}},
		{},
	} {
		f.Add(marshal(f, m), true)
		f.Add(marshal(f, m), false)
	}
	f.Fuzz(func(t *testing.T, b []byte, local bool) {
		var m relayv1.ExchangeMessage
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		updates := 0
		s := &Server{
			Hello: &relayv1.Hello{Instance: "g0", FailureDomain: "here"}, Replica: fuzzReplica(t, record), Log: zerolog.Nop(),
			Endpoints: &Endpoints{
				Update: func(*relayv1.EndpointStatus) { updates++ }, Remove: func(string) {},
				Summaries: func(_ uint64, _, _ string, l []*relayv1.Summary) {
					if l == nil {
						t.Fatal("a message counts as the end of the stream")
					}
				},
				OwnSummaries: func() []*relayv1.Summary { return nil },
				OwnDemand:    func(bool) divider.Demand { return nil },
				Demand: func(_ uint64, _ *relayv1.Hello, d *relayv1.Demand) {
					if d == nil {
						t.Fatal("a message counts as the end of the stream")
					}
				},
			},
		}
		domain := "there"
		if local {
			domain = "here"
		}
		l := s.newLink(&relayv1.Hello{Instance: "g1", FailureDomain: domain})
		checkRefusal(t, l.process(&m))
		checkRefusal(t, l.process(&m))
		if !local && updates > 0 {
			t.Fatal("a status of another failure domain was taken")
		}
		checkKept(t, s.Replica)
	})
}

// Guards against a message of a gateway that ends an agent, or takes the configuration back.
func FuzzAttachResponse(f *testing.F) {
	record, snapshot := soundRecord(f)
	for _, m := range []*relayv1.AttachResponse{
		{Message: &relayv1.AttachResponse_Record{Record: &relayv1.Record{Offset: 3, Body: record}}},
		{Message: &relayv1.AttachResponse_Snapshot{Snapshot: &relayv1.Snapshot{Offset: 1, Body: snapshot}}},
		{Message: &relayv1.AttachResponse_Gateways{Gateways: &relayv1.Gateways{Addresses: []string{"10.0.0.1:1", "x"}}}},
		{Message: &relayv1.AttachResponse_Offset{Offset: math.MaxUint64}},
		{},
	} {
		f.Add(marshal(f, m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m relayv1.AttachResponse
		if proto.Unmarshal(b, &m) != nil {
			return
		}
		c := &Client{Replica: fuzzReplica(t, record), Log: zerolog.Nop(), ownConnected: true}
		checkRefusal(t, c.handle(&m))
		for _, a := range append(c.learnedGateways, c.learnedOthers...) {
			if !a.IsValid() {
				t.Fatal("a gateway without an address was learned")
			}
		}
		checkKept(t, c.Replica)
	})
}

// Guards against a list of members that differs from the one of the gateway after a change,
// and against two entries of one instance.
func FuzzMembers(f *testing.F) {
	old := &relayv1.Members{Members: []*relayv1.Member{{Instance: "a"}, {Instance: "b", Address: "10.0.0.1:1"}}}
	f.Add(marshal(f, &relayv1.MembersChange{Changed: []*relayv1.Member{{Instance: "b", Leaving: true}, {Instance: "c"}}, Removed: []string{"a"}}))
	f.Add(marshal(f, &relayv1.MembersChange{Changed: []*relayv1.Member{{Instance: "c"}, {Instance: "c", Leaving: true}}, Removed: []string{"c"}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		var c relayv1.MembersChange
		if proto.Unmarshal(b, &c) != nil {
			return
		}
		next := applyMembers(old, &c)
		for i, m := range next.Members {
			if i > 0 && m.Instance <= next.Members[i-1].Instance {
				t.Fatalf("%q comes after %q", m.Instance, next.Members[i-1].Instance)
			}
		}
		if again := applyMembers(old, membersChange(old, next)); !proto.Equal(again, next) {
			t.Fatalf("members %v are passed on as %v", next, again)
		}
	})
}

package relayer

import (
	"errors"
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	relayv1 "github.com/eelgrassdrift/eelgrassdrift/api/relay/v1"
	"github.com/eelgrassdrift/eelgrassdrift/divider"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
)

// A message that was received before a stream broke, but is processed after its state has been
// dropped, must not bring that state back: nobody would drop it again, and a gateway that was
// cut off went on with the endpoints of the other failure domain.
func TestMessageAfterEndOfStream(t *testing.T) {
	domain := make(chan bool, 8)
	s := &Server{
		Hello: &relayv1.Hello{Instance: "g0", FailureDomain: "here"}, Replica: &follower.Replica{}, Log: zerolog.Nop(),
		Endpoints: &Endpoints{
			Summaries:    func(_ uint64, _, _ string, l []*relayv1.Summary) { domain <- l != nil },
			OwnSummaries: func() []*relayv1.Summary { return nil },
			OwnDemand:    func(bool) divider.Demand { return nil },
			Demand:       func(uint64, *relayv1.Hello, *relayv1.Demand) {},
		},
	}
	l := s.newLink(&relayv1.Hello{Instance: "g1", FailureDomain: "there"})
	broken, late := errors.New("connection reset"), make(chan struct{})
	l.send = func(*relayv1.ExchangeMessage) error { return broken }
	received := make(chan struct{})
	first := true
	l.recv = func() (*relayv1.ExchangeMessage, error) {
		if !first {
			close(received)
			return nil, io.EOF
		}
		first = false
		<-late
		return &relayv1.ExchangeMessage{Message: &relayv1.ExchangeMessage_Summaries{Summaries: &relayv1.Summaries{FailureDomain: "there"}}}, nil
	}
	if err := l.run(t.Context()); !errors.Is(err, broken) {
		t.Fatalf("the stream ended with %v", err)
	}
	if <-domain {
		t.Fatal("the end of the stream doesn't drop its state")
	}
	close(late)
	select {
	case <-received:
	case <-time.After(5 * time.Second):
	}
	select {
	case held := <-domain:
		t.Errorf("a message was processed after the end of the stream, state held: %t", held)
	default:
	}
}

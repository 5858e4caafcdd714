package observer_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// The line for a refused record must not hold the record: a number of 256 KB is quoted whole
// in the error of its decoder.
func TestRefusalLogged(t *testing.T) {
	var b bytes.Buffer
	long := errors.New("cannot decode " + strings.Repeat("9", 1<<18))
	s := &observer.State{
		Decode:         func(string, []byte) (*observer.Decision, error) { return nil, long },
		DecodeEndpoint: func(string, []byte) (*observer.Endpoint, error) { return nil, long },
		DecodeGateway:  func([]byte) (*observer.Gateway, error) { return nil, long },
		Now:            time.Now, Log: zerolog.New(&b),
	}
	record := []connector.Item{value("k", "x", 1)}
	s.ApplyOperator(record, time.Time{})
	s.ApplyEndpoints(record, true)
	s.ApplyGateways(append(record, value("digests/m/1", `{"version":`+strings.Repeat("9", 1<<18)+`}`, 2)))
	if n := strings.Count(b.String(), "cannot "); n != 4 {
		t.Errorf("%d lines of four give the cause", n)
	}
	if b.Len() > 2000 {
		t.Errorf("four refused records take %d bytes of the log", b.Len())
	}
}

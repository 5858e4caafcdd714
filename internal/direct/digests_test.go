package direct

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
)

// Peers that are slow or gone must not delay the digests of a new version by their time-outs
// one after the other. An agent asked the origin 0.4 s after a version was named, when the
// origin had become unavailable.
func TestFirstDigests(t *testing.T) {
	const wait = 200 * time.Millisecond
	silent := func(ctx context.Context, _ distributor.Member) ([][32]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	peers := []distributor.Member{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}
	began := time.Now()
	if d := firstDigests(t.Context(), peers, wait, silent); d != nil {
		t.Error("digests of silent peers")
	}
	if took := time.Since(began); took > 2*wait {
		t.Errorf("three silent peers took %s, want at most %s", took, 2*wait)
	}
	began = time.Now()
	d := firstDigests(t.Context(), peers, 5*time.Second, func(ctx context.Context, m distributor.Member) ([][32]byte, error) {
		switch m.Instance {
		case "a":
			return silent(ctx, m)
		case "b":
			return nil, errors.New("gone")
		}
		return make([][32]byte, 7), nil
	})
	if len(d) != 7 || time.Since(began) > time.Second {
		t.Errorf("%d digests after %s, want 7 of the peer that knows them", len(d), time.Since(began))
	}
}

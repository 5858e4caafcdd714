package follower_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/platformlog"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against changes after a return of the log that take effect only after a restart, through the
// log's protocol.
func TestRestoredPlatformLog(t *testing.T) {
	l := new(platformlog.Log)
	s := httptest.NewServer(l)
	defer s.Close()
	ctx, cancel := context.WithCancel(t.Context())
	start := func() *follower.Follower {
		f := &follower.Follower{Log: connector.NewLog(s.URL, s.Client()), Replica: &follower.Replica{}}
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = f.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done })
		return f
	}
	submit := func(f *follower.Follower, name string) uint64 {
		c, stop := context.WithTimeout(ctx, 30*time.Second)
		defer stop()
		o, err := f.Submit(c, domainRecord(name))
		if err != nil || !o.Accepted {
			t.Fatalf("submit %s: %+v, %v", name, o, err)
		}
		return o.Offset
	}
	f, g := start(), start()
	submit(f, "aswan")
	time.Sleep(1500 * time.Millisecond)
	before := submit(f, "benha")
	l.Restore(time.Second)
	if after := submit(f, "cairo"); after <= before {
		t.Errorf("revision %d after %d", after, before)
	}
	h := start()
	end := submit(h, "damietta")
	for _, x := range []*follower.Follower{f, g, h} {
		for until := time.Now().Add(10 * time.Second); x.Replica.Current().Offset < end && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
		for _, n := range []recorder.Name{"aswan", "benha", "cairo", "damietta"} {
			if x.Replica.Current().FailureDomains[n] == nil {
				t.Errorf("%s is missing at revision %d", n, x.Replica.Current().Offset)
			}
		}
	}
}

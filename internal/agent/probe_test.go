package agent

import (
	"context"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"
)

// A service that takes a connection 1.5 s late must not be reported as lost.
func TestProbeOfSilentService(t *testing.T) {
	back := httptest.NewServer(http.NotFoundHandler())
	defer back.Close()
	a, _ := newTestAgent(t, "service/booking", back.URL)
	s := a.back.(*service)
	dials, goesOn := 0, time.Time{}
	s.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		if dials++; dials == 2 {
			goesOn = time.Now().Add(1500 * time.Millisecond)
		}
		select {
		case <-time.After(time.Until(goesOn)):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.probe(ctx)
	}()
	seen := false
	for ctx.Err() == nil {
		up := s.up.Load()
		if seen && !up {
			t.Fatal("the service was reported as lost")
		}
		seen = seen || up
		time.Sleep(10 * time.Millisecond)
	}
	<-ended
	if !seen || dials < 2 {
		t.Fatalf("up %t after %d probes", seen, dials)
	}
}

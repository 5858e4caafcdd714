package guarder_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/platformlog"
)

// Guards against a second run at an agent that starts after a return of the log, and against a start
// that waits though the log's records cover a window, through the log's protocol.
func TestRestoredPlatformLog(t *testing.T) {
	const window = 4 * time.Second
	l := new(platformlog.Log)
	s := httptest.NewServer(l)
	defer s.Close()
	net := &network{}
	boot := func(index int, id string) *process {
		return start(nil, net, index, id, func(g *guarder.Guard) {
			g.Log, g.Window = connector.NewLog(s.URL, s.Client()), window
		})
	}
	runs := 0
	call := func(p *process, key string) error {
		_, err := p.Do(t.Context(), callOf(key, "x"), func(context.Context) (guarder.Answer, error) {
			runs++
			return guarder.Answer{Status: 200}, nil
		})
		return err
	}
	ready := func(p *process, within time.Duration) {
		for until := time.Now().Add(within); !p.Ready(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("not ready within %v", within)
			}
		}
	}
	a := boot(0, "a1")
	ready(a, 10*time.Second)
	if err := call(a, "k"); err != nil {
		t.Fatal(err)
	}
	a.kill(net)
	l.Restore(time.Minute)
	b := boot(1, "b1")
	if err := call(b, "k"); classifier.Of(err) != classifier.Unavailable || err == nil {
		t.Errorf("a repeat at the start: %v", err)
	}
	time.Sleep(window / 4)
	if err := call(b, "k"); classifier.Of(err) != classifier.Unavailable || err == nil {
		t.Errorf("a repeat within the window: %v", err)
	}
	if runs != 1 {
		t.Errorf("%d runs", runs)
	}
	ready(b, 30*time.Second)
	time.Sleep(window)
	c := boot(2, "c1")
	began := time.Now()
	ready(c, 30*time.Second)
	if d := time.Since(began); d > window*3/4 {
		t.Errorf("a start after a window took %v", d)
	}
	b.kill(net)
	c.kill(net)
}

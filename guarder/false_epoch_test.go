package guarder_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/guarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/platformlog"
)

// Guards against a guard that pauses for a window, and then uses no response of the log any more, after one
// response with a false high epoch.
func TestFalseHighEpoch(t *testing.T) {
	const window = time.Hour
	l := new(platformlog.Log)
	var falsify, falsified atomic.Bool
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r := httptest.NewRecorder()
		l.ServeHTTP(r, q)
		b := r.Body.Bytes()
		if strings.Contains(q.URL.Path, "intents.") && q.Method == http.MethodGet && falsify.CompareAndSwap(true, false) {
			wrong := bytes.Replace(b, []byte(`"epoch":1`), []byte(`"epoch":4000000000`), 1)
			falsified.Store(!bytes.Equal(b, wrong))
			b = wrong
		}
		w.WriteHeader(r.Code)
		_, _ = w.Write(b)
	}))
	defer s.Close()
	net := &network{}
	for i, begin := range []bool{true, false} {
		falsify.Store(begin)
		falsified.Store(false)
		p := start(nil, net, i, string(rune('a'+i))+"1", func(g *guarder.Guard) {
			g.Log, g.Window, g.Retention = connector.NewLog(s.URL, s.Client()), window, 2*window
		})
		until := time.Now().Add(30 * time.Second)
		for ; !p.Ready() && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		}
		if !begin {
			falsify.Store(true)
			for ; !falsified.Load() && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
			}
		}
		for _, key := range []string{"k", "m"} {
			_, err := p.Do(t.Context(), callOf(key+string(rune('a'+i)), "x"), func(context.Context) (guarder.Answer, error) {
				return guarder.Answer{Status: 200}, nil
			})
			if err != nil {
				t.Errorf("false epoch at the start %t, key %s: %v", begin, key, err)
			}
		}
		if !falsified.Load() {
			t.Error("no response had a false epoch")
		}
		p.kill(net)
	}
}

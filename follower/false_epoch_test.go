package follower_test

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
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/platformlog"
)

// Guards against a follower that begins an epoch, and then uses no response of the log any more, after one
// response with a false high epoch, of the configuration or of the snapshots.
func TestFalseHighEpoch(t *testing.T) {
	for _, stream := range []string{connector.ConfigurationStream, connector.SnapshotStream} {
		t.Run(stream, func(t *testing.T) {
			var falsify, falsified atomic.Bool
			l := new(platformlog.Log)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				r := httptest.NewRecorder()
				l.ServeHTTP(r, q)
				b := r.Body.Bytes()
				if strings.Contains(q.URL.Path, "/"+stream+"/") && q.Method == http.MethodGet && falsify.CompareAndSwap(true, false) {
					wrong := bytes.Replace(b, []byte(`"epoch":1`), []byte(`"epoch":4000000000`), 1)
					falsified.Store(!bytes.Equal(b, wrong))
					b = wrong
				}
				w.WriteHeader(r.Code)
				_, _ = w.Write(b)
			}))
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			f := &follower.Follower{Log: connector.NewLog(s.URL, s.Client()), Replica: &follower.Replica{}}
			done := make(chan struct{})
			go func() {
				defer close(done)
				_ = f.Run(ctx)
			}()
			defer func() { cancel(); <-done }()
			submit := func(name string) uint64 {
				o, err := f.Submit(ctx, domainRecord(name))
				if err != nil || !o.Accepted {
					t.Fatalf("submit %s: %+v, %v", name, o, err)
				}
				return o.Offset
			}
			before := submit("aswan")
			falsify.Store(true)
			var n follower.SnapshotReader
			if _, err := n.Newest(ctx, f.Log); stream == connector.SnapshotStream && err == nil {
				t.Error("a response with a false epoch was used")
			}
			if after := submit("benha"); after != before+1 {
				t.Errorf("revision %d after %d", after, before)
			}
			if o, err := n.Newest(ctx, f.Log); err != nil {
				t.Errorf("snapshot %v, error %v", o, err)
			}
			if !falsified.Load() {
				t.Error("no response had a false epoch")
			}
		})
	}
}

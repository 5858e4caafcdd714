package dispatcher_test

import (
	"encoding/json"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
)

// A malformed or absurd report of an agent must not take a gateway down, nor make it send
// more to the endpoint than it has slots.
func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"address":"10.0.0.1:1","versions":{"m":1},"load":-5,"queued":-3}`))
	f.Add([]byte(`{"address":"10.0.0.1:1","started":"0001-01-01T00:00:00Z","load":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		w := newHarness()
		w.run("endpoint e1 a 1")
		var r dispatcher.Report
		if json.Unmarshal(b, &r) != nil {
			return
		}
		w.d.Report(r)
		w.run("send 9")
		if n := len(w.leases["e1"]); n > 4 {
			t.Fatalf("%d requests at an endpoint with 4 slots", n)
		}
	})
}

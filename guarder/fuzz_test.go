package guarder_test

import (
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// FuzzRecord guards against a record that makes every agent of a service panic,
// or that stops a guard although its format is not newer.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"format":1,"key":"` + callDigest("k") + `","request":"` + callDigest("x") +
		`","instance":"b","address":"127.0.0.1:7001","boot-id":"b1","operation":"01890a5d-ac96-774b-bcce-b302099a8057","over":3}`))
	f.Add([]byte(`{"format":2}`))
	f.Add([]byte(`{"format":1,"key":"zz"}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		l, net := newFakeLog(), &network{}
		l.add([][]byte{body})
		p := start(l, net, 0, "a1", nil)
		for !p.Ready() {
			select {
			case <-p.done:
				if classifier.Of(p.err) != classifier.Refused {
					t.Fatalf("guard stopped: %v", p.err)
				}
				return
			case <-time.After(10 * time.Microsecond):
			}
		}
		p.kill(net)
	})
}

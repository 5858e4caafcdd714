package follower_test

import (
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

// Guards against a damaged record of the snapshot stream that stops a gateway
// or is restored as a snapshot.
func FuzzJoiner(f *testing.F) {
	s, _ := new(registrar.State).Apply(1, domainRecord("tanta"))
	parts, err := follower.Split(s)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(parts[0])
	f.Add([]byte(`{"format":1,"offset":1,"index":5,"count":2}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var j follower.Joiner
		n := j.Add(b)
		if n == nil {
			return
		}
		if _, err := n.Snapshot(); err != nil {
			t.Fatal(err)
		}
		if o, _ := n.Apply(n.Offset+1, domainRecord("mansoura")); o.Offset != n.Offset+1 {
			t.Fatalf("the restored state did not apply the record at offset %d", n.Offset+1)
		}
	})
}

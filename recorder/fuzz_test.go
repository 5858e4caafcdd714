package recorder_test

import (
	"bytes"
	"testing"

	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against records in the log, possibly written by another program, that are
// accepted but lose their meaning: an accepted record must encode and decode again
// to the same record.
func FuzzDecode(f *testing.F) {
	for _, c := range []recorder.Change{
		{Kind: recorder.TakeDomainOut, Object: "tanta", Reason: "power work", Expect: new(uint64(3))},
		{Kind: recorder.RevokeGrant, Release: &recorder.Release{Grant: 7, Message: "late"}},
		{Kind: recorder.PutFailureDomain, FailureDomain: &recorder.FailureDomain{Name: "tanta", Region: "delta"}},
	} {
		r := recorder.Record{Format: recorder.Format, Operation: uuid.UUID{1}, Author: "anna", Changes: []recorder.Change{c}}
		b, err := r.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(`{"format":1,"changes":[{"kind":"put-model"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := recorder.Decode(b)
		if err != nil {
			return
		}
		for i := range r.Changes {
			if r.Changes[i].Key() == "" {
				t.Fatal("accepted change has no key")
			}
		}
		x, err := r.Encode()
		if err != nil {
			// Escaping can make the encoding longer than the input.
			if len(b) > recorder.MaxRecord/6 {
				return
			}
			t.Fatal(err)
		}
		again, err := recorder.Decode(x)
		if err != nil {
			t.Fatal(err)
		}
		if y, _ := again.Encode(); !bytes.Equal(x, y) {
			t.Fatalf("record changed after encoding and decoding:\n%s\n%s", x, y)
		}
	})
}

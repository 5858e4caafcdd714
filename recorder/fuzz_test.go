package recorder_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// checkRefusal fails the test unless the error is of this package and has the kind.
func checkRefusal(t *testing.T, err error, want classifier.Kind) {
	t.Helper()
	var e *recorder.Error
	if !errors.As(err, &e) || e.Kind != want {
		t.Fatalf("refused with %T: %v, want an error of kind %v", err, err, want)
	}
}

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
		if errors.Is(err, recorder.ErrNewerFormat) {
			checkRefusal(t, err, classifier.Refused)
			return
		}
		if err != nil {
			checkRefusal(t, err, classifier.Invalid)
			return
		}
		if err := r.Check(); err != nil {
			t.Fatal(err)
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

// Guards against a record of a newer format that is taken for an invalid one: readers skip
// an invalid record, and must stop at a newer one, whatever else it holds.
func FuzzNewerFormat(f *testing.F) {
	f.Add(2, "changes", `[{"kind":"unknown"}]`)
	f.Add(1<<40, "operation", `7`)
	f.Add(-1, "at", `null`)
	f.Fuzz(func(t *testing.T, format int, field, value string) {
		name, err := json.Marshal(field)
		if err != nil || !json.Valid([]byte(value)) || strings.EqualFold(field, "format") {
			return
		}
		b := fmt.Appendf(nil, `{%s:%s,"format":%d}`, name, value, format)
		_, err = recorder.Decode(b)
		if newer := errors.Is(err, recorder.ErrNewerFormat); newer != (format > recorder.Format && len(b) <= recorder.MaxRecord) {
			t.Fatalf("format %d: newer %t, %v", format, newer, err)
		}
	})
}

// Guards against texts of other programs that are read as a digest or a duration other than
// the one they name.
func FuzzTexts(f *testing.F) {
	f.Add(strings.Repeat("0aF9", 16))
	f.Add("1h2m3.5s")
	f.Add("-2562047h47m16.854775808s")
	f.Fuzz(func(t *testing.T, s string) {
		if d, err := recorder.ParseDigest(s); err == nil && d.String() != strings.ToLower(s) {
			t.Fatalf("%q is read as digest %s", s, d)
		}
		b, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		var d, again recorder.Duration
		if json.Unmarshal(b, &d) != nil {
			return
		}
		x, err := json.Marshal(d)
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(x, &again); err != nil || again != d {
			t.Fatalf("%q is %s, and read again %s, %v", s, d.Std(), again.Std(), err)
		}
	})
}

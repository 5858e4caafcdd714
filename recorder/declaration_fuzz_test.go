package recorder_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against declarations that are accepted but then can't be written to the
// log, so that operators are told that a file is valid and the write fails later.
func FuzzParseDeclaration(f *testing.F) {
	examples, err := filepath.Glob("../examples/*.yaml")
	if err != nil {
		f.Fatal(err)
	}
	for _, e := range examples {
		b, err := os.ReadFile(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte("failure-domains: [{name: a, region: b}]"))
	f.Add([]byte("models: [{name: m, order-timeout: 1s, fencing: no}]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := recorder.ParseDeclaration(b)
		if err != nil {
			checkRefusal(t, err, classifier.Invalid)
			return
		}
		c := d.Changes()
		for i := range c {
			if err := c[i].Check(); err != nil {
				t.Fatalf("accepted declaration has an invalid change: %v", err)
			}
		}
		e, err := d.Encode()
		if err != nil {
			t.Fatal(err)
		}
		again, err := recorder.ParseDeclaration(e)
		if err != nil {
			t.Fatalf("encoded declaration was rejected: %v", err)
		}
		if x, _ := again.Encode(); !bytes.Equal(x, e) {
			t.Fatalf("declaration changed after encoding and decoding:\n%s\n%s", e, x)
		}
	})
}

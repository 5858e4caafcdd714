package recorder_test

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against manifests that crash the decoder or are accepted with chunks
// that don't add up to the size.
func FuzzDecodeManifest(f *testing.F) {
	m, err := recorder.NewManifest(bytes.NewReader(make([]byte, 10_000)), recorder.MinChunkSize,
		func(recorder.Digest, []byte) error { return nil })
	if err != nil {
		f.Fatal(err)
	}
	b, _, err := m.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(bytes.Replace(b, []byte("10000"), []byte("9223372036854775807"), 1))
	f.Add([]byte(`{"format":1,"size":-1,"chunk-size":0}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := recorder.DecodeManifest(b, recorder.DigestOf(b))
		if err != nil {
			checkRefusal(t, err, classifier.Invalid)
			return
		}
		if err := m.Check(); err != nil {
			t.Fatal(err)
		}
		x, d, err := m.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if again, err := recorder.DecodeManifest(x, d); err != nil || !reflect.DeepEqual(again, m) {
			t.Fatalf("manifest changed after encoding and decoding: %v", err)
		}
		var size int64
		for i := range m.Chunks {
			n := m.ChunkLen(i)
			if n < 1 || n > recorder.MaxChunkSize {
				t.Fatalf("chunk %d has length %d", i, n)
			}
			size += n
		}
		if size != m.Size {
			t.Fatalf("chunks have %d bytes; size is %d", size, m.Size)
		}
	})
}

package guarder

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Guards against an intent that is accepted with other values than the log holds, and against
// one of a newer format that is skipped like an invalid one.
func FuzzIntent(f *testing.F) {
	f.Add([]byte(`{"format":1,"key":"` + strings.Repeat("0a", 32) + `","request":"` + strings.Repeat("0B", 32) +
		`","instance":"b","address":"[fe80::1%eth0]:7001","boot-id":"b1","operation":"01890a5d-ac96-774b-bcce-b302099a8057","over":3}`))
	f.Add([]byte(`{"format":2,"key":[]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		i, err := decodeIntent(b)
		if err != nil {
			var e *Error
			want := classifier.Invalid
			if errors.Is(err, recorder.ErrNewerFormat) {
				want = classifier.Refused
			}
			if !errors.As(err, &e) || e.Kind != want {
				t.Fatalf("refused with %T: %v", err, err)
			}
			return
		}
		if err := i.check(); err != nil {
			t.Fatal(err)
		}
		x, err := json.Marshal(i)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := decodeIntent(x); len(x) <= maxIntentBytes && (err != nil || again != i) {
			t.Fatalf("intent changed after encoding and decoding: %+v, %+v, %v", i, again, err)
		}
	})
}

// Guards against an intent of a newer format that is skipped because it is longer than those of
// this one: the call that it stands for would run again.
func TestLongNewerIntent(t *testing.T) {
	for _, n := range []int{1, maxIntentBytes, 2 * maxIntentBytes} {
		b := []byte(`{"format":2,"more":"` + strings.Repeat("x", n) + `"}`)
		if _, err := decodeIntent(b); !errors.Is(err, recorder.ErrNewerFormat) || classifier.Of(err) != classifier.Refused {
			t.Errorf("%d bytes: %.80v", len(b), err)
		}
		b[len(`{"format":`)] = '1'
		if _, err := decodeIntent(b); classifier.Of(err) != classifier.Invalid {
			t.Errorf("%d bytes of format 1: %.80v", len(b), err)
		}
	}
}

// reply answers each request with the same body.
type reply []byte

func (r reply) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(r))}, nil
}

// Guards against the status of another operation, and against an answer that can't be passed
// on: the handler would panic, and the caller of a call that ran would learn nothing.
func FuzzIntentStatus(f *testing.F) {
	id := uuid.MustParse("01890a5d-ac96-774b-bcce-b302099a8057")
	status := func(rest string) []byte {
		return []byte(`{"boot-id":"b1","operation":"` + id.String() + `",` + rest + `}`)
	}
	f.Add(status(`"state":"done","answer":{"status":200,"header":{"Etag":["e"]},"body":"YQ=="}`))
	f.Add(status(`"state":"done","answer":{"status":42}`))
	f.Add(status(`"state":"done"`))
	f.Add(status(`"state":"running","answer":{}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		g := &Guard{Client: &http.Client{Transport: reply(b)}, Scheme: "http", MaxAnswer: 1 << 10}
		h := processRef{Instance: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), BootID: "b1"}
		v, err := g.queryWinner(t.Context(), recorder.Digest{1}, id, h)
		if err != nil {
			var e *Error
			if !errors.As(err, &e) || e.Kind != classifier.OutcomeUnknown {
				t.Fatalf("refused with %T: %v", err, err)
			}
			return
		}
		if v.BootID != h.BootID || v.Operation != id || (v.State == stateDone) != (v.Answer != nil) {
			t.Fatalf("accepted %+v", v)
		}
		if v.Answer != nil && (v.Answer.Status < 200 || v.Answer.Status > 999) {
			t.Fatalf("accepted an answer with status %d", v.Answer.Status)
		}
	})
}

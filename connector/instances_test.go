package connector_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

const soundInstance = `{"name":"%s","failure-domain":"a","region":"r","kind":"agent","address":"10.0.0.1:80","state":"live"}`

// One odd entry must not keep a gateway from the rest of the list: the whole poll failed, and
// so did each later one.
func TestOddInstance(t *testing.T) {
	for odd, gone := range map[string]bool{
		`{"name":"odd","address":"10.0.0.1:65536"}`:                                             true,
		`{"name":"odd","address":"10.0.0.1:-1"}`:                                                true,
		`{"name":"odd","address":1e400}`:                                                        true,
		`{"name":"odd","serves":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + `}`: true,
		`{"name":7}`:        false,
		`{"name":"\u0000"}`: false,
		`{}`:                false,
		`[]`:                false,
		`null`:              false,
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"version":7,"full":true,"instances":[`+soundInstance+`,`, "i-1")
			_, _ = io.WriteString(w, odd+",")
			_, _ = fmt.Fprintf(w, soundInstance+`]}`, "i-2")
		}))
		l, err := connector.NewInstances(s.URL, http.DefaultClient).Poll(t.Context(), 0, 0)
		s.Close()
		var names []string
		for _, i := range l.Instances {
			names = append(names, string(i.Name)+"-"+string(i.State))
		}
		want := "i-1-live i-2-live"
		if gone {
			want = "i-1-live odd-gone i-2-live"
		}
		if got := strings.Join(names, " "); err != nil || l.Version != 7 || !l.Full || got != want || len(l.Refused) != 1 {
			t.Errorf("%.60s: version %d, %s, %d refused, %.100v", odd, l.Version, got, len(l.Refused), err)
		}
	}
}

func FuzzInstanceList(f *testing.F) {
	f.Add([]byte(`{"version":1,"instances":[` + fmt.Sprintf(soundInstance, "i-1") + `,{"name":"i-2","address":"x"}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var l connector.InstanceList
		if json.Unmarshal(b, &l) != nil {
			return
		}
		for _, i := range l.Instances {
			if i.Name.Check() != nil {
				t.Fatalf("an instance with the name %q is listed", string(i.Name))
			}
		}
		x, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		var again connector.InstanceList
		if err := json.Unmarshal(x, &again); err != nil || len(again.Refused) > 0 || !slices.Equal(again.Instances, l.Instances) {
			t.Fatalf("list changed after encoding and decoding: %s, %v, %v", x, again.Refused, err)
		}
	})
}

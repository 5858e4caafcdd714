package forwarder_test

import (
	"net/http"
	"testing"
)

// A number of milliseconds that overflows a duration must count as a long time: a caller's
// deadline of that kind had passed at once, and a cold endpoint got requests like a warm one.
func TestLargeMilliseconds(t *testing.T) {
	f, all := newHandler(t, 1)
	url := serve(t, f)
	for _, ms := range []string{"9223372036854775807", "9223372036855", "18446744073709"} {
		q, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/any/x", http.NoBody)
		q.Host = "h"
		q.Header.Set("Authorization", "Bearer key")
		q.Header.Set(headers.RequestID, "id-1")
		q.Header.Set(headers.Deadline, ms)
		all[0].script = &script{}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		if _ = r.Body.Close(); r.StatusCode != http.StatusOK {
			t.Errorf("status %d with %s ms left", r.StatusCode, ms)
		}
	}
	all[0].script = &script{steps: []string{"cold 9223372036854775807"}}
	if a := sendRequest(url, "any"); a != "200 hello" {
		t.Fatal(a)
	}
	if s := f.Dispatcher.Status(); len(s) != 1 || s[0].Cold != 1 {
		t.Errorf("after the announcement: %+v", s)
	}
}

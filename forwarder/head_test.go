package forwarder_test

import (
	"net/http"
	"testing"
)

// The response to HEAD must have the length that the endpoint states, or none: 0 says that the
// body is empty.
func TestLengthOfHead(t *testing.T) {
	for step, want := range map[string]int64{"ok": 5, "unframed": -1} {
		f, all := newHandler(t, 1)
		all[0].script = &script{steps: []string{step}}
		q := newRequest(t.Context(), serve(t, f), "any", "id-1")
		q.Method, q.Body, q.ContentLength = http.MethodHead, http.NoBody, 0
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusOK || r.ContentLength != want {
			t.Errorf("%s: status %d with a length of %d, want %d", step, r.StatusCode, r.ContentLength, want)
		}
	}
}

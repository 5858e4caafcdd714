package forwarder_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Guards against headers above the configured limit that take a gateway's memory for the whole
// request, and against a refusal of those within it.
func TestHeaderLimit(t *testing.T) {
	const limit = 16_384
	for size, want := range map[int]int{limit - 500: http.StatusOK, limit: http.StatusRequestHeaderFieldsTooLarge} {
		c := configuration()
		c.Limits.HeaderBytes = limit
		f, all := newHandler(t, 1)
		f.Table = func() *resolver.Table { return resolver.New(c) }
		all[0].script = &script{steps: []string{"ok"}}
		q := newRequest(t.Context(), serve(t, f), "any", "id-1")
		q.Header.Set("X-Large", strings.Repeat("x", size))
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		if r.StatusCode != want {
			t.Errorf("%d bytes: status %d, want %d", size, r.StatusCode, want)
		}
	}
}

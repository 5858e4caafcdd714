package ctl_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/ctl"
)

// Guards against holds that an operator can neither see nor release, and against a release that
// looks done though nothing was held.
func TestHolds(t *testing.T) {
	const digest = "00112233445566778899aabbccddeeff"
	var asked []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		asked = append(asked, q.Method+" "+q.URL.Path)
		switch {
		case q.Method == http.MethodDelete && !strings.HasSuffix(q.URL.Path, digest):
			w.WriteHeader(http.StatusNotFound)
		case q.Method == http.MethodGet:
			_, _ = w.Write([]byte(`[{"digest":"` + digest + `","part":"5c1e07a2","changed":"2026-12-06T09:00:00Z","until":"2026-12-06T09:00:30Z","trials":0,"processes":["10.0.0.1:80/1","10.0.0.2:80/1"]}]`))
		}
	}))
	defer s.Close()
	for _, c := range []struct {
		args, out string
		code      int
	}{
		{"list", digest + "  5c1e07a2  2026-12-06T09:00:30Z  0       2", 0},
		{"release " + digest, "", 0},
		{"release ff" + digest[2:], "", 4},
		{"release x", "", 2},
	} {
		var out, errs strings.Builder
		a := &ctl.App{Out: &out, Err: &errs}
		args := append([]string{"eelgrassctl", "holds", "--peers", strings.TrimPrefix(s.URL, "http://")}, strings.Fields(c.args)...)
		if code := a.Run(t.Context(), args); code != c.code || !strings.Contains(out.String(), c.out) {
			t.Errorf("%s: exit code %d, want %d; printed %q %q", c.args, code, c.code, out.String(), errs.String())
		}
	}
	if len(asked) != 3 {
		t.Errorf("asked %q, want nothing for a word that is no digest", asked)
	}
}

package forwarder_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// A head of which a part is missing or changed must not make another answer look like the whole
// one. Each script line is "ROUTE METHOD: ANSWER". In the answer "|" stands for a line end and
// "OK" at its beginning for a status line, the request id and a signature; the endpoint then
// closes the connection, or resets it after "RESET". The output shows what the caller got.
func TestHeads(t *testing.T) {
	datadriven.RunTest(t, "testdata/heads", func(t *testing.T, d *datadriven.TestData) string {
		var answers []rawAnswer
		for line := range strings.Lines(d.Input) {
			_, text, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
			answers = append(answers, parseRawAnswer(text))
		}
		e, client := newRawEndpoint(t, answers), newPlainClient(t)
		var out strings.Builder
		n := 0
		for line := range strings.Lines(d.Input) {
			var route, method string
			if _, err := fmt.Sscan(line, &route, &method); err != nil {
				t.Fatal(err)
			}
			fmt.Fprintln(&out, e.ask(client, route, strings.TrimSuffix(method, ":"), n))
			n++
		}
		return out.String()
	})
}

func parseRawAnswer(text string) rawAnswer {
	text, reset := strings.CutSuffix(text, "RESET")
	if rest, ok := strings.CutPrefix(text, "OK"); ok {
		text = "HTTP/1.1 200 OK|X-Id: id-1|X-Signature: s-1" + rest
	}
	return rawAnswer{bytes: strings.ReplaceAll(text, "|", "\r\n"), reset: reset}
}

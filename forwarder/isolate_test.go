package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

// Guards against a request that takes one endpoint after the other down (BUDGET), and against
// refusals of requests whose connections broke for another reason. Each script line is "ROUTE
// CONTENT [PARTS]: STEP, STEP ..." and has a request id of its own; the endpoint that gets the next attempt
// takes the next step, and the process of the step "end" ends.
func TestEndings(t *testing.T) {
	datadriven.RunTest(t, "testdata/endings", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		f, all := newHandler(t, 12)
		f.Isolator = &isolator.Isolator{}
		if d.HasArg("unheld") {
			d.ScanArgs(t, "unheld", &f.UnheldRoutes)
		}
		f.ClaimTrial = func(_ context.Context, d isolator.Digest) bool {
			h, isHeld := f.Isolator.NextTrial(d)
			f.Isolator.LearnHold(h, true)
			return isHeld
		}
		url := serve(t, f)
		n := 0
		for line := range strings.Lines(d.Input) {
			n++
			request, steps, _ := strings.Cut(strings.TrimSpace(line), ": ")
			route, content, _ := strings.Cut(request, " ")
			content, parts, _ := strings.Cut(content, " ")
			script := &script{steps: strings.Split(steps, ", ")}
			for _, b := range all {
				b.script = script
			}
			fmt.Fprintf(&out, "%s -> %s\n", request, sendContent(url, route, content, parts, n))
			out.WriteString(summarizeRequests(all))
		}
		return out.String()
	})
}

// sendContent sends a request with the content, the parts of its prompt and the n-th request id.
func sendContent(url, route, content, parts string, n int) string {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q := newRequest(ctx, url, route, fmt.Sprintf("id-%d", n))
	q.Body, q.ContentLength, q.GetBody = io.NopCloser(strings.NewReader(content)), int64(len(content)), nil
	if parts != "" {
		q.Header.Set(headers.PromptParts, parts)
	}
	return receive(q)
}

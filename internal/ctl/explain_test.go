package ctl_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/eelgrassdrift/eelgrassdrift/internal/ctl"
)

// The command must work from a saved log alone, without a server or a key.
func TestExplainNeedsNoServer(t *testing.T) {
	file := filepath.Join(t.TempDir(), "gateway.log")
	log := "time=2026-01-01T00:00:03.300Z level=warn event=request instance=g1 request=r1 outcome=no-endpoint status=503\n" +
		"time=2026-01-01T00:00:03.400Z level=info event=request instance=g1 request=r3 outcome=served reserved=true reserved-elsewhere=true\n"
	if err := os.WriteFile(file, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	for args, want := range map[string]string{
		"explain r1 " + file:               "outcome=no-endpoint",
		"--output json explain r1 " + file: `"event": "request"`,
		"explain r3 " + file:               "(slots were free, but left to more urgent requests that waited at other gateways)",
	} {
		var out, errs bytes.Buffer
		a := &ctl.App{In: strings.NewReader(""), Out: &out, Err: &errs}
		if code := a.Run(context.Background(), append([]string{"eelgrassctl"}, strings.Fields(args)...)); code != 0 || !strings.Contains(out.String(), want) {
			t.Errorf("%s: code %d, %s%s", args, code, out.String(), errs.String())
		}
	}
	var out, errs bytes.Buffer
	a := &ctl.App{In: strings.NewReader(""), Out: &out, Err: &errs}
	if code := a.Run(context.Background(), []string{"eelgrassctl", "explain", "r2", file}); code != 4 {
		t.Errorf("an id that no line carries: code %d, %s", code, errs.String())
	}
}

package direct

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// A platform that doesn't know an instance's memory or link leaves the settings empty. A gateway must
// start then as before, and not with a figure that can't be read.
func TestLimitSettings(t *testing.T) {
	for _, c := range []struct{ setting, refused string }{
		{"--memory-mb=136", ""},
		{"--memory-mb=0", ""},
		{"--memory-mb=", ""},
		{"--memory-mb=136.5", ""},
		{"--memory-mb=-1", "memory-mb"},
		{"--memory-mb=NaN", "memory-mb"},
		{"--memory-mb=136MB", "memory-mb"},
		{"--link-mbps=28", ""},
		{"--link-mbps=", ""},
		{"--link-mbps=7.3", ""},
		{"--link-mbps=-7", "link-mbps"},
	} {
		command := GatewayCommand(&Platform{})
		command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
		err := command.Run(t.Context(), []string{
			"direct", "check", "--name=g", "--failure-domain=a", "--regions=a=r", "--front=127.0.0.1:1", "--ready=127.0.0.1:2",
			"--peers=127.0.0.1:3", "--store=127.0.0.1:4", c.setting,
		})
		if (err != nil) != (c.refused != "") || err != nil && !strings.Contains(err.Error(), c.refused) {
			t.Errorf("%s: %v", c.setting, err)
		}
	}
}

// A gateway that refuses thousands of requests must log one line at the beginning and one at the end, or
// the lines would take the place of others.
func TestRefusalsAreLoggedOnce(t *testing.T) {
	var b bytes.Buffer
	refused := map[string]int64{}
	r := refusalWatch{log: zerolog.New(&b), use: func() forwarder.CapacityUse {
		u := forwarder.CapacityUse{Refused: map[string]int64{}}
		for k, n := range refused {
			u.Refused[k] = n
		}
		return u
	}}
	(&refusalWatch{}).look()
	for i, n := range []int64{0, 0, 500, 400, 100, 0, 0, 7, 0} {
		if n > 0 {
			refused["too-many-calls"] += n
		}
		r.look()
		lines := strings.Count(b.String(), "\n")
		if want := []int{0, 0, 1, 1, 1, 2, 2, 3, 4}[i]; lines != want {
			t.Errorf("step %d: %d lines, want %d:\n%s", i, lines, want, b.String())
		}
	}
	if s := b.String(); !strings.Contains(s, `"refused":{"too-many-calls":1000},"message":"capacity-free"`) || !strings.Contains(s, `{"too-many-calls":7}`) {
		t.Errorf("logged %s", s)
	}
}

// Each change of the condition must give one line that names what caused it.
func TestUnevenLog(t *testing.T) {
	for _, c := range []struct {
		change dispatcher.UnevenChange
		want   string
	}{
		{
			dispatcher.UnevenChange{Service: "s", Uneven: true, Route: "r", Deviation: 1.20049, Responses: 72},
			`{"level":"info","service":"s","route":"r","deviation":1.2,"responses":72,"message":"lengths-uneven"}`,
		},
		{dispatcher.UnevenChange{Service: "s"}, `{"level":"info","service":"s","message":"lengths-no-longer-uneven"}`},
	} {
		var b bytes.Buffer
		logUneven(zerolog.New(&b), c.change)
		if got := strings.TrimSpace(b.String()); got != c.want {
			t.Errorf("got %s, want %s", got, c.want)
		}
	}
}

package direct

import (
	"context"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"
)

// lines is an io.Writer that sends each log line to a channel.
type lines chan string

func (l lines) Write(b []byte) (int, error) {
	l <- string(b)
	return len(b), nil
}

// runner implements process with a function.
type runner func(context.Context) error

func (r runner) Run(ctx context.Context) error { return r(ctx) }

// SIGHUP, which some tools send to make a process reload its settings, must not end
// the process: the requests that it has already read would get no answer.
func TestHangup(t *testing.T) {
	out := make(lines, 8)
	c := command("test", nil, 100, func(*cli.Command) (process, common, error) {
		return runner(func(context.Context) error {
			for range 2 {
				if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
					return err
				}
				select {
				case s := <-out:
					if !strings.Contains(s, "reload-kept-settings") {
						t.Errorf("log line %s, want one with reload-kept-settings", s)
					}
				case <-time.After(5 * time.Second):
					t.Error("no log line within 5 s of SIGHUP")
				}
			}
			return nil
		}), common{log: zerolog.New(out), closer: io.NopCloser(nil)}, nil
	})
	if err := c.Run(t.Context(), []string{"direct"}); err != nil {
		t.Fatal(err)
	}
}

// A wrong number or time of holds must be refused at the start: more endings than the default would
// break the bound of five endpoints for one faulty part.
func TestHoldSettings(t *testing.T) {
	for _, c := range []struct{ setting, refused string }{
		{"--hold-endings=2", ""},
		{"--hold-endings=3", ""},
		{"--hold-endings=0", "hold-endings"},
		{"--hold-endings=4", "hold-endings"},
		{"--hold-time=5m", ""},
		{"--hold-time=0s", "hold-time"},
		{"--unheld-routes=chat,embed", ""},
	} {
		args := []string{
			"direct", "check", "--name=g", "--failure-domain=a", "--regions=a=r", "--front=127.0.0.1:1", "--ready=127.0.0.1:2",
			"--peers=127.0.0.1:3", "--store=127.0.0.1:4", c.setting,
		}
		command := GatewayCommand(&Platform{})
		command.ExitErrHandler = func(context.Context, *cli.Command, error) {}
		err := command.Run(t.Context(), args)
		if (err != nil) != (c.refused != "") || err != nil && !strings.Contains(err.Error(), c.refused) {
			t.Errorf("%s: %v", c.setting, err)
		}
	}
}

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

func requestsCommand() *cli.Command {
	return &cli.Command{
		Name: "requests", Usage: "compare the gateway with a forwarder that makes no decision",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "callers", Value: []int{1, 4, 16, 64}},
			&cli.IntFlag{Name: "rounds", Value: 3, Usage: "rounds in which the ways take turns"},
			&cli.IntFlag{Name: "tokens", Value: 8},
			&cli.BoolFlag{Name: "stream"},
		},
		Action: compareRequests,
	}
}

// way is a way to the engine.
type way struct {
	name, url string
	// process is the one whose processor time is counted; nil for none.
	process *process
	took    []time.Duration
	used    time.Duration
	elapsed time.Duration
	failed  int64
}

func compareRequests(ctx context.Context, c *cli.Command) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	p, err := newPlatform(ctx)
	if err != nil {
		return err
	}
	store, err := p.publish(ctx)
	if err != nil {
		return err
	}
	l, err := addresses(ctx, 2)
	if err != nil {
		return err
	}
	bin, target := c.String("bin"), "http://"+l[0]
	e, err := start(ctx, filepath.Join(bin, "eelgrass-standin"), "engine", "--listen", l[0],
		"--first-token", "0s", "--token-interval", "0s", "--log-level", "error")
	if err != nil {
		return err
	}
	defer e.stop()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	f, err := start(ctx, self, "forwarder", "--listen", l[1], "--target", target)
	if err != nil {
		return err
	}
	defer f.stop()
	g, err := startGateway(ctx, bin, gatewayName, p)
	if err != nil {
		return err
	}
	defer g.stop()
	a, err := startAgent(ctx, bin, p, target, store, g.relay)
	if err != nil {
		return err
	}
	defer a.stop()
	body := fmt.Sprintf(`{"model":"assistant","messages":[{"role":"user","content":"hello"}],"max_tokens":%d,"stream":%t}`,
		c.Int("tokens"), c.Bool("stream"))
	if err := awaitAnswer(ctx, g.callers, body); err != nil {
		return err
	}
	w := c.Root().Writer
	_, _ = fmt.Fprintf(w, "%7s %-24s | %9s %14s %9s %9s %7s\n", "callers", "way", "requests/s", "requests/core-s", "p50 ms", "p99 ms", "failed")
	for _, n := range c.IntSlice("callers") {
		ways := []*way{
			{name: "engine", url: target, process: e},
			{name: "forwarder, engine", url: "http://" + l[1], process: f},
			{name: "gateway, agent, engine", url: g.callers, process: g.process},
		}
		for range c.Int("rounds") {
			for _, v := range ways {
				if err := v.run(ctx, n, c.Duration("span")/2, body); err != nil {
					return err
				}
			}
		}
		for _, v := range ways {
			v.print(w, n)
		}
	}
	return nil
}

// run sends requests from a number of callers, each the next one after an answer.
func (v *way) run(ctx context.Context, callers int, span time.Duration, body string) error {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers, DisableCompression: true}}
	defer client.CloseIdleConnections()
	before, err := v.process.sample()
	if err != nil {
		return err
	}
	var mu sync.Mutex
	var failed atomic.Int64
	var work sync.WaitGroup
	begun := time.Now()
	for range callers {
		work.Go(func() {
			var took []time.Duration
			for time.Since(begun) < span && ctx.Err() == nil {
				t := time.Now()
				if send(ctx, client, v.url, body) != nil {
					failed.Add(1)
					continue
				}
				took = append(took, time.Since(t))
			}
			mu.Lock()
			defer mu.Unlock()
			v.took = append(v.took, took...)
		})
	}
	work.Wait()
	v.elapsed += time.Since(begun)
	v.failed += failed.Load()
	after, err := v.process.sample()
	v.used += after.processor - before.processor
	return err
}

func (v *way) print(w io.Writer, callers int) {
	if len(v.took) == 0 {
		_, _ = fmt.Fprintf(w, "%7d %-24s | no answers, %d failed\n", callers, v.name, v.failed)
		return
	}
	slices.Sort(v.took)
	ms := func(i int) float64 { return float64(v.took[i].Microseconds()) / 1000 }
	n := float64(len(v.took))
	_, _ = fmt.Fprintf(w, "%7d %-24s | %9.0f %14.0f %9.3f %9.3f %7d\n", callers, v.name,
		n/v.elapsed.Seconds(), n/v.used.Seconds(), ms(len(v.took)/2), ms(len(v.took)*99/100), v.failed)
}

func send(ctx context.Context, c *http.Client, url, body string) error {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+callerKey)
	q.Header.Set("Content-Type", "application/json")
	r, err := c.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return errors.Newf("status %d", r.StatusCode)
	}
	return nil
}

// awaitAnswer waits until the gateway answers a call.
func awaitAnswer(ctx context.Context, url, body string) error {
	var err error
	for range 300 {
		if err = send(ctx, http.DefaultClient, url, body); err == nil {
			return nil
		}
		if e := sleeper.Sleep(ctx, 100*time.Millisecond); e != nil {
			return e
		}
	}
	return errors.Wrap(err, "the gateway does not serve the model")
}

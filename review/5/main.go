//go:build review

// Command case5 shows a request that begins on an older version after the time of the newer one.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/review/harness"
)

const (
	// originDown is how long the origin of weights is down, from just before the version is named.
	originDown = 6 * time.Second
	// silentFrom is when the engine falls silent after the version was named, and silentFor how
	// long.
	silentFrom = 6900 * time.Millisecond
	silentFor  = 1300 * time.Millisecond
	interval   = 80 * time.Millisecond
)

func main() {
	f := harness.NewFleet("review/5")
	gateways := f.AddGateways("tanta", "tanta", "mansoura")
	origin := harness.NewOrigin()
	originAddress, server := f.Serve(f.IP()+":0", origin)
	var engines []*harness.Replica
	for i, zone := range []string{"tanta", "mansoura"} {
		r := &harness.Replica{
			ID: fmt.Sprintf("i-%d", i+1), Service: "assistant", Zone: zone, Model: "m0", Slots: 16, Warm: 300 * time.Millisecond,
			Events: func(string) (int, time.Duration) { return 6, 5 * time.Millisecond },
		}
		f.AddAgent(r, f.AddReplica(r, 1))
		engines = append(engines, r)
	}
	f.Configure(harness.EngineConfig(1, originAddress))
	for _, g := range gateways {
		g.AwaitReady(10 * time.Second)
	}
	// The system is in touch after stableWindowMs.
	time.Sleep(5 * time.Second)
	var wait sync.WaitGroup
	stop := make(chan struct{})
	for n, g := range gateways {
		c := f.Caller(g)
		wait.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}
				wait.Go(func() { c.Ask(http.MethodPost, "/lease/x", fmt.Sprintf("c%d-%d", n+1, i), 6*time.Second, 0) })
			}
		})
	}
	time.Sleep(2 * time.Second)
	// The origin crashes and comes back at its address.
	_ = server.Close()
	time.AfterFunc(originDown, func() { f.Serve(originAddress.String(), origin) })
	f.Record.Printf("the origin is down for %s", originDown)
	time.Sleep(100 * time.Millisecond)
	named := time.Now()
	f.Store.PutJSON("keyed.op", "version/m0", map[string]any{"model": "m0", "version": 2})
	f.Record.Printf("version 2 is named")
	if harness.Trouble() {
		time.AfterFunc(time.Until(named.Add(silentFrom)), func() {
			f.Record.Printf("i-1 falls silent for %s", silentFor)
			engines[0].Silence(silentFor)
		})
	}
	time.Sleep(time.Until(named.Add(14 * time.Second)))
	close(stop)
	wait.Wait()
	late := 0
	due := named.Add(harness.VersionMS * time.Millisecond)
	for _, r := range engines {
		for _, x := range r.Runs() {
			if x.Version < 2 && x.Began.After(due) {
				late++
				f.Record.Printf("VERSION: %s began at %s on version %d, %d ms after version 2 was named; it arrived there %d ms after",
					x.ID, x.Replica, x.Version, x.Began.Sub(named).Milliseconds(), x.Arrived.Sub(named).Milliseconds())
			}
		}
	}
	f.Record.Finish(late > 0, "%d requests began on version 1 later than %d ms after version 2 was named", late, harness.VersionMS)
}

//go:build review

// Command case1 shows agents that wait for good for the answer to an order, so that a deployment doesn't come back.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/review/harness"
)

const (
	// down is how long the power is off.
	down = 620 * time.Millisecond
	// recovery is recoveryS, and measured how long requests are counted after it.
	recovery = 12 * time.Second
	measured = 30 * time.Second
	interval = 200 * time.Millisecond
)

func main() {
	f := harness.NewFleet("review/1")
	gateways := f.AddGateways("tanta", "mansoura")
	origin, _ := f.Serve(f.IP()+":0", harness.NewOrigin())
	var back atomic.Bool
	var engines []*harness.Replica
	var agents []*harness.Process
	for i, zone := range []string{"tanta", "mansoura"} {
		// One answer is lost: that to the first order of one of the two engines after the power
		// is back.
		var lost atomic.Bool
		r := &harness.Replica{
			ID: fmt.Sprintf("i-%d", i+1), Service: "assistant", Zone: zone, Model: "m0", Slots: 16, Warm: 300 * time.Millisecond,
			Events: func(string) (int, time.Duration) { return 6, 20 * time.Millisecond },
			LoseOrder: func(int64) bool {
				return harness.Trouble() && i == 0 && back.Load() && lost.CompareAndSwap(false, true)
			},
		}
		agents = append(agents, f.AddAgent(r, f.AddReplica(r, 1)))
		engines = append(engines, r)
	}
	// The requests may be served in the region of the first engine only.
	f.Configure(harness.EngineConfig(1, origin, "gharbia"))
	for _, g := range gateways {
		g.AwaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var answers []harness.Answer
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
				wait.Go(func() {
					a := c.Ask(http.MethodPost, "/lease/x", fmt.Sprintf("c%d-%d", n+1, i), 6*time.Second, 0)
					mu.Lock()
					defer mu.Unlock()
					answers = append(answers, a)
				})
			}
		})
	}
	time.Sleep(5 * time.Second)
	fault := time.Now()
	f.Record.Printf("all machines lose power")
	for _, r := range engines {
		r.Exit()
	}
	for _, p := range agents {
		p.Signal(syscall.SIGKILL)
	}
	for _, g := range gateways {
		g.Signal(syscall.SIGKILL)
	}
	time.Sleep(down)
	for i, r := range engines {
		f.Store.Put("keyed.servers", r.ID, nil)
		r.Rename(fmt.Sprintf("j-%d", i+1))
		r.Start(0)
		r.Beat()
	}
	back.Store(true)
	for _, p := range agents {
		p.Wait()
		p.Start()
	}
	for _, g := range gateways {
		g.Wait()
		g.Start()
	}
	returned := time.Now()
	f.Record.Printf("all machines are back; the engines are empty")
	time.Sleep(time.Until(returned.Add(recovery + measured)))
	close(stop)
	wait.Wait()
	var before, servedBefore, after, servedAfter int
	for _, a := range answers {
		served := 0
		if a.IsWhole() {
			served = 1
		}
		at := a.Sent
		if at.IsZero() {
			at = a.Ended
		}
		switch {
		case at.Before(fault):
			before++
			servedBefore += served
		case at.After(returned.Add(recovery)):
			after++
			servedAfter += served
		}
	}
	for _, r := range engines {
		f.Record.Printf("%s holds version %d at the end", r.ID, r.Version())
	}
	f.Record.Printf("before the fault %d of %d requests were served; of those sent later than 12 s after the machines were back %d of %d",
		servedBefore, before, servedAfter, after)
	if 4*servedBefore < before || after == 0 {
		harness.Fail("too few requests were served before the fault")
	}
	f.Record.Finish(4*servedAfter < after, "%d of %d requests were served later than 12 s after the machines were back, for %s", servedAfter, after, measured)
}

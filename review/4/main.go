//go:build review

// Command case4 shows a gateway that goes on sending to a replica whose entry was removed.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/review/harness"
)

const (
	// cutFor is how long gateway A is partitioned from the store.
	cutFor = 5500 * time.Millisecond
	// Gateway B loses power at killAfter and is back at startAfter, counted from the cut. The
	// replica leaves between, at leaveAfter.
	killAfter  = 500 * time.Millisecond
	leaveAfter = 2000 * time.Millisecond
	startAfter = 3500 * time.Millisecond
	// sendAfter is when clients send to A: stableWindowMs after the cut and a little more.
	sendAfter = 9 * time.Second
	// exitAfter is when the replica that leaves exits.
	exitAfter = 11 * time.Second
	work      = 3 * time.Second
)

func main() {
	f := harness.NewFleet("review/4")
	gateways := f.AddGateways("tanta", "tanta")
	a, b := gateways[0], gateways[1]
	origin, _ := f.Serve(f.IP()+":0", harness.NewOrigin())
	var replicas []*harness.Replica
	for i, zone := range []string{"tanta", "mansoura", "damanhur"} {
		r := &harness.Replica{ID: fmt.Sprintf("b-%d", i+1), Service: "booking", Zone: zone, Slots: 6, Work: func(string) time.Duration { return work }}
		f.AddReplica(r, 0)
		replicas = append(replicas, r)
	}
	f.Configure(harness.EngineConfig(1, origin))
	for _, g := range gateways {
		g.AwaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	cut := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(cut.Add(d))) }
	if harness.Trouble() {
		f.Record.Printf("%s is partitioned from the store", a.Name)
		a.Door.Cut.Store(true)
	}
	at(killAfter)
	if harness.Trouble() {
		f.Record.Printf("%s loses power", b.Name)
		b.Signal(syscall.SIGKILL)
		b.Wait()
	}
	at(leaveAfter)
	replicas[0].Leave()
	left := time.Now()
	f.Record.Printf("b-1 leaves: its entry is removed")
	at(startAfter)
	if harness.Trouble() {
		b.Start()
		f.Record.Printf("%s starts again", b.Name)
	}
	at(cutFor)
	a.Door.Cut.Store(false)
	f.Record.Printf("the partition ends")
	at(sendAfter)
	c := f.Caller(a)
	var wait sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range 8 {
		wait.Go(func() {
			x := c.Ask(http.MethodPost, "/deposit/x", fmt.Sprintf("d-%d", i+1), 6*time.Second, 0)
			mu.Lock()
			defer mu.Unlock()
			if !x.IsWhole() {
				failed++
			}
		})
	}
	at(exitAfter)
	f.Record.Printf("b-1 exits")
	replicas[0].Exit()
	wait.Wait()
	late := 0
	for _, x := range replicas[0].Runs() {
		if x.Arrived.Sub(left) > harness.DrainMS*time.Millisecond {
			late++
			f.Record.Printf("DRAIN: %s reached b-1 %d ms after its entry was removed; its answer was whole: %t", x.ID, x.Arrived.Sub(left).Milliseconds(), x.Ended)
		}
	}
	f.Record.Finish(late > 0, "%d of 8 requests reached a replica later than %d ms after its entry was removed; %d requests weren't served",
		late, harness.DrainMS, failed)
}

//go:build review

// Command case3 shows gateways that send to a replica whose entry was removed, because a
// heartbeat that the replica wrote before was done late.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/review/harness"
)

// Times from the beginning of the disruption, in which the store loses answers to writes and does
// these writes late.
const (
	heartbeat = 1200 * time.Millisecond
	// lostAt is when the heartbeat is sent whose answer is lost, and doneAt when the store does
	// that write: 6 s later.
	lostAt = 4400 * time.Millisecond
	doneAt = lostAt + 6*time.Second
	// lostUntil is the end of the disruption; the store is stable stableWindowMs later.
	lostUntil = 4500 * time.Millisecond
	// leaveAt is when the entry of the replica is removed, sendAt when clients send their
	// requests, and exitAt when the replica exits.
	leaveAt = 7700 * time.Millisecond
	sendAt  = 11300 * time.Millisecond
	exitAt  = 11400 * time.Millisecond
	// work is the longest time that a request takes by the sheet.
	work = 220 * time.Millisecond
	// requests is the number of requests to each gateway.
	requests = 4
)

func main() {
	f := harness.NewFleet("review/3")
	gateways := f.AddGateways("tanta", "mansoura", "damanhur")
	origin, _ := f.Serve(f.IP()+":0", harness.NewOrigin())
	var replicas []*harness.Replica
	for i, zone := range []string{"tanta", "mansoura", "damanhur"} {
		r := &harness.Replica{ID: fmt.Sprintf("b-%d", i+1), Service: "booking", Zone: zone, Slots: 6, Work: func(string) time.Duration { return work }}
		f.AddReplica(r, 0)
		replicas = append(replicas, r)
	}
	leaving := replicas[0]
	stop := make(chan struct{})
	for _, r := range replicas {
		go beat(r, stop)
	}
	f.Configure(harness.EngineConfig(1, origin))
	for _, g := range gateways {
		g.AwaitReady(10 * time.Second)
	}
	// Each gateway works with each replica before.
	for i, g := range gateways {
		for n := range 6 {
			f.Caller(g).Ask(http.MethodGet, "/lookup/x", fmt.Sprintf("before-%d-%d", i+1, n+1), time.Second, 0)
		}
	}
	began := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
	if harness.Trouble() {
		f.Record.Printf("the store begins to lose answers to writes")
	}
	at(lostAt)
	late := leaving.LateBeat()
	if harness.Trouble() {
		f.Record.Printf("the answer to a heartbeat of b-1 is lost; the write is done later")
	} else {
		late()
	}
	at(lostUntil)
	if harness.Trouble() {
		f.Record.Printf("the store loses no more answers")
	}
	at(leaveAt)
	stop <- struct{}{} // b-1 sends no heartbeat from now on
	leaving.Leave()
	left := time.Now()
	f.Record.Printf("b-1 leaves: its entry is removed")
	at(doneAt)
	if harness.Trouble() {
		late()
		f.Record.Printf("the store does the write of the heartbeat whose answer it lost")
	}
	at(sendAt)
	failed := send(f, gateways, func() {
		at(exitAt)
		f.Record.Printf("b-1 exits")
		leaving.Exit()
	})
	reached := 0
	for _, x := range leaving.Runs() {
		if x.Arrived.Sub(left) > harness.DrainMS*time.Millisecond {
			reached++
			f.Record.Printf("DRAIN: %s reached b-1 %d ms after its entry was removed; its answer was whole: %t", x.ID, x.Arrived.Sub(left).Milliseconds(), x.Ended)
		}
	}
	f.Record.Finish(reached > 0, "%d of %d requests reached a replica later than %d ms after its entry was removed; %d requests weren't served",
		reached, requests*len(gateways), harness.DrainMS, failed)
}

// beat writes the entry of a replica until stop has a value for it; the first one is for b-1.
func beat(r *harness.Replica, stop <-chan struct{}) {
	ends := stop
	if r.ID != "b-1" {
		ends = nil
	}
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		select {
		case <-ends:
			return
		case <-t.C:
			r.Beat()
		}
	}
}

// send sends deposits, which may run once only, to all gateways at the same time, calls meanwhile,
// and returns how many weren't served.
func send(f *harness.Fleet, gateways []*harness.Gateway, meanwhile func()) int {
	var wait sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i, g := range gateways {
		for n := range requests {
			wait.Go(func() {
				x := f.Caller(g).Ask(http.MethodPost, "/deposit/x", fmt.Sprintf("d-%d-%d", i+1, n+1), time.Second, 0)
				mu.Lock()
				defer mu.Unlock()
				if !x.IsWhole() {
					failed++
				}
			})
		}
	}
	meanwhile()
	wait.Wait()
	return failed
}

//go:build review

// Command case4 shows a stream that a planned stop of its gateway cuts, though it was sent later than the time for which the
// rule excuses that.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/review/harness"
)

const (
	// usualEvents and usualPause make the usual answer, longEvents and longPause the long one.
	usualEvents, usualPause = 12, 20 * time.Millisecond
	longEvents, longPause   = 60, 80 * time.Millisecond
	// gap is the time between the SIGTERMs of two gateways of a zone.
	gap = 1300 * time.Millisecond
	// connectAfter is when the client connects after the SIGTERM of its gateway, and headerTime how
	// long it takes until it has sent its headers; headerTimeoutMs is 3,000. By then one of three
	// gateways of the zone is in rotation, so that the platform uses all of them.
	connectAfter = 2450 * time.Millisecond
	headerTime   = 650 * time.Millisecond
)

func main() {
	f := harness.NewFleet("review/4")
	gateways := f.AddGateways("tanta", "tanta", "tanta", "mansoura")
	origin, _ := f.Serve(f.IP()+":0", harness.NewOrigin())
	var engines []*harness.Replica
	for i, zone := range []string{"tanta", "mansoura"} {
		r := &harness.Replica{
			ID: fmt.Sprintf("i-%d", i+1), Service: "assistant", Zone: zone, Model: "m0", Slots: 16, Warm: 300 * time.Millisecond,
			Events: func(id string) (int, time.Duration) {
				if strings.HasPrefix(id, "long") {
					return longEvents, longPause
				}
				return usualEvents, usualPause
			},
		}
		f.AddAgent(r, f.AddReplica(r, 1))
		engines = append(engines, r)
	}
	f.Configure(harness.EngineConfig(1, origin))
	for _, g := range gateways {
		g.AwaitReady(10 * time.Second)
	}
	time.Sleep(4 * time.Second)
	c := f.Caller(gateways[0])
	var wait sync.WaitGroup
	for i := range 100 {
		wait.Go(func() { c.Ask(http.MethodPost, "/lease/x", fmt.Sprintf("usual-%d", i), 6*time.Second, 0) })
		time.Sleep(40 * time.Millisecond)
	}
	wait.Wait()
	stop := func(g *harness.Gateway) {
		if harness.Trouble() {
			f.Record.Printf("SIGTERM to %s", g.Name)
			g.Signal(syscall.SIGTERM)
		}
	}
	stop(gateways[1])
	time.Sleep(gap)
	term := time.Now()
	stop(gateways[0])
	time.Sleep(connectAfter)
	var answers []harness.Answer
	var mu sync.Mutex
	for i := range 3 {
		wait.Go(func() {
			a := c.Ask(http.MethodPost, "/lease/x", fmt.Sprintf("long-%d", i+1), 6*time.Second, headerTime)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
	}
	wait.Wait()
	lost := 0
	for _, a := range answers {
		passedOn := false
		for _, r := range engines {
			for _, x := range r.Runs() {
				passedOn = passedOn || x.ID == a.ID
			}
		}
		sent, ended := a.Sent.Sub(term), a.Ended.Sub(term)
		isPlanned := ended < (harness.GraceS+1)*time.Second
		isExcused := sent <= 3*time.Second || a.Ended.Sub(a.Sent) >= 6*time.Second
		incomplete := a.Status == 0 || a.Err != nil
		if passedOn && incomplete && isPlanned && !isExcused {
			lost++
			f.Record.Printf("LOST: %s was sent %d ms after the SIGTERM and passed on to a replica; its connection ended %d ms after the SIGTERM, "+
				"%d ms after it was sent, without a complete answer (status %d, %d of %d events, %v)",
				a.ID, sent.Milliseconds(), ended.Milliseconds(), (ended - sent).Milliseconds(), a.Status, strings.Count(a.Body, "data:"), longEvents, a.Err)
		}
	}
	f.Record.Finish(lost > 0, "%d of %d requests were passed on and ended without a complete answer", lost, len(answers))
}

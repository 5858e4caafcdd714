//go:build review

package main

import (
	"errors"
	"os"
	"time"
)

// rollback declares new weights, and the former ones again as a further version. Then the replicas crash before the
// traffic begins and come back after 3 s. Without trouble they don't crash. With FORMER=0 version 3 has bytes of its own.
func rollback(rec *record, trouble bool) (int, error) {
	alike := map[int64]int64{3: 1}
	if os.Getenv("FORMER") == "0" {
		alike = nil
	}
	f, err := newFleet(rec, &weights{alike: alike}, time.Millisecond)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if !f.awaitReady(1, 15*time.Second) {
		return failed, errors.New("the system isn't ready")
	}
	time.Sleep(2 * time.Second)
	f.name(2)
	time.Sleep(2500 * time.Millisecond)
	f.name(3)
	if !f.awaitReady(3, 20*time.Second) {
		return failed, errors.New("version 3 isn't served")
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	if trouble {
		for _, r := range f.replicas {
			r.crash()
		}
		time.AfterFunc(3*time.Second, func() {
			for _, r := range f.replicas {
				if err := r.boot(0); err != nil {
					rec.add("replica %s doesn't start: %v", r.name, err)
				}
			}
		})
	}
	rec.add("the traffic begins")
	time.AfterFunc(60*time.Second, func() { close(done) })
	began := time.Now()
	served, late, lateServed := 0, 0, 0
	all := f.clients(10, done)
	for _, r := range all {
		if r.served {
			served++
		}
		// 12 s (recoveryS) after the replicas are back.
		if r.sent.Sub(began) > 15*time.Second {
			late++
			if r.served {
				lateServed++
			}
		}
	}
	for _, z := range zones {
		l := f.logLines("side-"+z.name+"-1", "failed")
		rec.add("agent of %s: %d lines of failed steps", z.name, len(l))
		if len(l) > 0 {
			rec.add("the last one: %s", l[len(l)-1])
		}
	}
	rec.add("%d requests, %d served; of those sent from 15 s after the begin on %d of %d; %d of %d replicas serve version 3 at the end",
		len(all), served, lateServed, late, f.serving(3), len(f.replicas))
	if served == 0 {
		return broken, nil
	}
	return held, nil
}

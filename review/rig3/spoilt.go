//go:build review

package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// soundStageTime is the time of a read or write of a staged piece at a sound replica, and slowFactor the factor
	// of a slow one.
	soundStageTime = 5 * time.Millisecond
	slowFactor     = 8
	// spoiltPieces is the number of pieces that turn bad at once: 0.06 of 96.
	spoiltPieces = 6
)

// spoilt declares a version while one replica is slow. Some of the pieces that lie there turn bad once, while the agent
// prepares the load for the last time. Without trouble the replica is as fast as the others and nothing turns bad.
func spoilt(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, &weights{}, soundStageTime)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if !f.awaitReady(1, 15*time.Second) {
		return failed, errors.New("the system isn't ready")
	}
	time.Sleep(time.Second)
	slow := f.replicas[0]
	done := make(chan struct{})
	if trouble {
		slow.mu.Lock()
		slow.stageTime *= slowFactor
		slow.mu.Unlock()
		rec.add("replica %s turns slow", slow.name)
		go func() {
			log := "side-" + slow.name + "-1"
			for len(f.logLines(log, "version-staged", "version=2")) == 0 {
				time.Sleep(20 * time.Millisecond)
			}
			rec.add("the agent of %s has staged version 2", slow.name)
			// The pieces are read three times in a row before the order. Some of those that were read for the third time
			// turn bad.
			for last := slow.reads() + 2*pieces + 2*spoiltPieces; slow.reads() < last; {
				time.Sleep(20 * time.Millisecond)
			}
			for n := range spoiltPieces {
				slow.spoil(n)
			}
			rec.add("%d pieces turn bad at replica %s", spoiltPieces, slow.name)
		}()
	}
	f.name(2)
	time.AfterFunc(50*time.Second, func() { close(done) })
	served := 0
	all := f.clients(10, done)
	for _, r := range all {
		if r.served {
			served++
		}
	}
	bad := 0
	for _, r := range f.replicas {
		r.mu.Lock()
		bad += r.badTokens
		rec.add("replica %s serves version %d; %d requests got tokens of spoilt weights", r.name, r.version, r.badTokens)
		r.mu.Unlock()
	}
	for _, l := range f.logLines("side-"+slow.name+"-1", "load") {
		rec.add("agent of %s: %s", slow.name, l)
	}
	rec.add("%d requests, %d served", len(all), served)
	if served == 0 {
		return failed, errors.New("nothing was served")
	}
	if f.serving(2) != len(f.replicas) {
		return failed, fmt.Errorf("%d of %d replicas serve version 2", f.serving(2), len(f.replicas))
	}
	if bad > 0 {
		return broken, nil
	}
	return held, nil
}

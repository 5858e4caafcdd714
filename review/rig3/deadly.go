//go:build review

package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	deadlyPart = "dead0bad"
	// turns is the number of shared parts of a prompt: the turns of a long conversation.
	turns = 36
	// stableWindow is the time after the fifth crash from which requests count.
	stableWindow = 3 * time.Second
)

// prompt returns the parts of a prompt of a long conversation, whose last part is its own. The deadly part takes the
// place of one of the others.
func prompt(id string, deadlyAt int) string {
	var l []string
	for n := range turns {
		part := fmt.Sprintf("5c1e%04x", n)
		if n == deadlyAt {
			part = deadlyPart
		}
		l = append(l, part+":30")
	}
	return strings.Join(append(l, id[:8]+":20"), ",")
}

// deadly sends prompts with a part under which replicas crash, beside sound ones. TURN is the place of that part, by
// default 34. Without trouble there are only sound ones.
func deadly(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, &weights{}, time.Millisecond)
	if err != nil {
		return failed, err
	}
	defer f.end()
	for _, r := range f.replicas {
		r.mu.Lock()
		r.deadly = deadlyPart
		r.mu.Unlock()
	}
	if !f.awaitReady(1, 15*time.Second) {
		return failed, errors.New("the system isn't ready")
	}
	turn, err := strconv.Atoi(os.Getenv("TURN"))
	if err != nil {
		turn = 34
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	sound, bad := make(chan []result, 1), make(chan []result, 1)
	go func() {
		sound <- f.load(10, done, func(front, id string) result { return f.sendPrompt(front, id, prompt(id, -1)) })
	}()
	time.Sleep(5 * time.Second)
	calmEnd := time.Now()
	if trouble {
		go func() {
			bad <- f.load(1, done, func(front, id string) result { return f.sendPrompt(front, id, prompt(id, turn)) })
		}()
	} else {
		bad <- nil
	}
	time.Sleep(55 * time.Second)
	close(done)
	<-bad
	served := 0
	all := <-sound
	for _, r := range all {
		if r.served {
			served++
		}
	}
	var deaths, arrivals []time.Time
	begun := make(map[string]bool)
	for _, r := range f.replicas {
		r.mu.Lock()
		deaths, arrivals = append(deaths, r.deaths...), append(arrivals, r.deadlyAt...)
		for id := range r.begun {
			begun[id] = true
		}
		r.mu.Unlock()
	}
	slices.SortFunc(deaths, time.Time.Compare)
	var fifth time.Time
	if len(deaths) > 0 {
		fifth = deaths[min(4, len(deaths)-1)]
	}
	late := 0
	for _, at := range arrivals {
		if len(deaths) >= 5 && at.After(fifth.Add(stableWindow)) {
			late++
		}
	}
	// Sound requests before the disruption, and from 2 x stableWindowMs after the fifth crash on.
	var sent, began [2]int
	for _, r := range all {
		n := 0
		switch {
		case !fifth.IsZero() && r.sent.After(fifth.Add(2*stableWindow)):
			n = 1
		case r.sent.After(calmEnd):
			continue
		}
		sent[n]++
		if begun[r.id] {
			began[n]++
		}
	}
	rec.add("%d crashes, %d requests with the deadly part reached replicas, %d of them later than %s after the fifth crash",
		len(deaths), len(arrivals), late, stableWindow)
	rec.add("sound requests: %d of %d were served; before the disruption %d of %d began, from %s after the fifth crash on %d of %d",
		served, len(all), began[0], sent[0], 2*stableWindow, began[1], sent[1])
	isLost := sent[0] >= 20 && sent[1] >= 20 && 2*began[1]*sent[0] < began[0]*sent[1]
	rec.add("LOST broken: %t, BUDGET broken: %t", isLost, late > 3)
	switch {
	case trouble && len(deaths) == 0, served == 0:
		return failed, errors.New("no replica crashed, or nothing was served")
	case isLost:
		return broken, nil
	}
	return held, nil
}

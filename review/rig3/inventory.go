//go:build review

package main

import (
	"encoding/json"
	"errors"
	"time"
)

// inventory lets another writer put entries into the list, before the traffic begins: one for each address of the plain
// service, under keys of its own and for a service that the configuration doesn't name.
func inventory(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, &weights{}, time.Millisecond)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if !f.awaitReady(1, 15*time.Second) {
		return failed, errors.New("the system isn't ready")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, r := range f.plain {
			b, _ := json.Marshal(map[string]any{
				"service": "inventory", "address": r.address, "zone": r.zone, "version": "v1", "slots": 1, "state": "ready",
				"coldRemainingMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
			})
			f.store.put("keyed.servers", "host-"+r.zone, b)
			rec.add("another writer puts the entry host-%s for the address of %s: %s", r.zone, r.id, b)
		}
	}
	time.Sleep(3 * time.Second)
	done := make(chan struct{})
	rec.add("the traffic begins")
	time.AfterFunc(40*time.Second, func() { close(done) })
	all := f.load(10, done, f.sendPlain)
	served, runs := 0, 0
	for _, r := range all {
		if r.served {
			served++
		}
	}
	for _, r := range f.plain {
		r.mu.Lock()
		runs += len(r.ran)
		r.mu.Unlock()
	}
	rec.add("%d requests, %d served, %d ran", len(all), served, runs)
	if served == 0 {
		return broken, nil
	}
	return held, nil
}

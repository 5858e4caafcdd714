//go:build review

package main

import (
	"errors"
	"os"
	"time"
)

// moved lets all machines lose power, and with them the origin, which is replaced at another address: 2 s after the
// machines are back a configuration names it. Without trouble only the configuration changes. With ORIGIN=0 the machines
// lose power and the origin stays where it is.
func moved(rec *record, trouble bool) (int, error) {
	f, err := newFleet(rec, &weights{}, time.Millisecond)
	if err != nil {
		return failed, err
	}
	defer f.end()
	if !f.awaitReady(1, 15*time.Second) {
		return failed, errors.New("the system isn't ready")
	}
	time.Sleep(3 * time.Second)
	const off, down, move, end = 12 * time.Second, time.Second, 2 * time.Second, 50 * time.Second
	const recovery = 12 * time.Second
	done, fault := make(chan struct{}), make(chan error, 1)
	began := time.Now()
	rec.add("the traffic begins")
	time.AfterFunc(end, func() { close(done) })
	moves := os.Getenv("ORIGIN") != "0"
	go func() {
		fault <- func() error {
			time.Sleep(off)
			if trouble {
				rec.add("all machines lose power")
				f.kill()
				for _, r := range f.replicas {
					r.crash()
					r.losePower()
				}
				if moves {
					rec.add("the origin is lost for good")
					f.origin.stop()
				}
			}
			time.Sleep(down)
			if trouble {
				rec.add("the machines are back")
				for _, r := range f.replicas {
					if err := r.boot(0); err != nil {
						return err
					}
				}
				if err := f.start(); err != nil {
					return err
				}
			}
			time.Sleep(move)
			if !moves {
				return nil
			}
			o := &server{address: f.otherOrigin, handler: &origin{weights: f.weights}}
			if err := o.start(); err != nil {
				return err
			}
			f.servers = append(f.servers, o)
			f.config["version"] = 9
			f.config["services"].([]map[string]any)[2]["origin"] = f.otherOrigin
			f.putConfig()
			rec.add("a configuration names the origin at another address")
			return nil
		}()
	}()
	all := f.clients(10, done)
	if err := <-fault; err != nil {
		return failed, err
	}
	var sent, served [2]int
	for _, r := range all {
		n := 0
		if at := r.sent.Sub(began); at > off+down+recovery {
			n = 1
		} else if at > off-time.Second {
			continue
		}
		sent[n]++
		if r.served {
			served[n]++
		}
	}
	for _, z := range zones {
		for _, l := range f.logLines("side-"+z.name+"-1", "event=version-") {
			rec.add("agent of %s: %s", z.name, l)
		}
	}
	rec.add("before the power was lost %d of %d requests were served, from 12 s after the machines were back on %d of %d",
		served[0], sent[0], served[1], sent[1])
	switch {
	case 4*served[0] < sent[0]:
		return failed, errors.New("too little was served before")
	case 4*served[1] < sent[1]:
		return broken, nil
	}
	return held, nil
}

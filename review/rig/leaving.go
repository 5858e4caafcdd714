//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { plays["leaving"] = leavingPlay }

const (
	drainTime  = 2 * time.Second
	outageTime = 5 * time.Second
)

// seen is what a client got through a gateway.
type seen struct {
	answer
	front      string
	sent, head time.Time
}

// leavingPlay: a replica of a plain service crashes and starts again under its id. The store is down from the moment at
// which it has taken the new entry, before the gateways have read it. The replica then leaves, and says so in its
// answers. No request that was sent more than 2 s after a gateway passed on such an answer may reach it from there.
func leavingPlay(f *fleet, trouble bool) (bool, error) {
	f.configure(1, []route{
		{prefix: "/deposit/", kind: "non_idempotent", service: bookings, timeout: 1000, aim: 150, attempts: 1},
		{prefix: "/lookup/", kind: "idempotent", service: bookings, timeout: 1000, aim: 150, attempts: 2},
	})
	// The pages have services with a single replica; with more of them the gateways prefer the others after the crash.
	first, err := f.addServer(bookings, 0)
	if err != nil {
		return false, err
	}
	first.keepsID = true
	if err := f.addGateways(2); err != nil {
		return false, err
	}
	if err := f.awaitPlain("/lookup/x"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var g sync.WaitGroup
	var all []seen
	end := time.Now().Add(20 * time.Second)
	for n := range 12 {
		g.Add(1)
		go func() {
			defer g.Done()
			for i := 0; time.Now().Before(end); i++ {
				v := seen{front: f.fronts[n%2], sent: time.Now()}
				id := fmt.Sprintf("c%d-%d", n, i)
				if i%2 == 0 {
					v.answer = ask(v.front, http.MethodPost, "/deposit/x", id, time.Second, nil, "deposit of "+id)
				} else {
					v.answer = ask(v.front, http.MethodGet, "/lookup/x", id, time.Second, nil, "")
				}
				v.head = time.Now()
				if v.status == http.StatusOK && v.header.Get(leaving) != "" {
					f.note("%s passed on an answer of %s with %s: request %s", v.front, v.header.Get(instance), leaving, id)
				}
				mu.Lock()
				all = append(all, v)
				mu.Unlock()
				time.Sleep(60 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	s := f.servers[0]
	crash, outage := trouble && os.Getenv("CRASH") != "0", trouble && os.Getenv("OUTAGE") != "0"
	if err := f.leave(s, crash, outage); err != nil {
		return false, err
	}
	g.Wait()
	late, passed := f.lateAt(s, all)
	f.note("%d requests, %d answers of %s that said that it leaves, %d late requests there", len(all), passed, s.id, late)
	fmt.Printf("%d requests, %d answers of %s that said that it leaves, %d late requests there\n", len(all), passed, s.id, late)
	if passed == 0 {
		return false, fmt.Errorf("no answer said that the replica leaves")
	}
	return late > 0, nil
}

// leave lets the replica crash and start again, the store fail, and the replica leave.
func (f *fleet) leave(s *server, crash, outage bool) error {
	if crash {
		f.note("kills %s", s.id)
		s.link.shut()
		s.kill()
		time.Sleep(time.Second)
		var once atomic.Bool
		taken := make(chan struct{})
		f.onEntry = func(id string) {
			if id == s.id && once.CompareAndSwap(false, true) {
				if outage {
					f.store.setDown(true)
				}
				close(taken)
			}
		}
		if err := s.link.open(); err != nil {
			return err
		}
		if err := f.startServer(s, 0); err != nil {
			return err
		}
		<-taken
		f.note("%s is back under its id and in the list", s.id)
	} else if outage {
		f.store.setDown(true)
	}
	if outage {
		f.note("the store is down")
	}
	time.Sleep(time.Second)
	f.note("%s leaves", s.id)
	s.signal(syscall.SIGTERM)
	time.Sleep(outageTime - time.Second)
	if outage {
		f.note("the store is back")
		f.store.setDown(false)
	}
	return nil
}

// lateAt returns the number of requests that reached the replica too late, and that of the answers that said that it leaves.
func (f *fleet) lateAt(s *server, all []seen) (late, passed int) {
	b, _ := os.ReadFile(f.record.Name())
	reached := make(map[string]bool)
	for line := range strings.Lines(string(b)) {
		if w := strings.Fields(line); len(w) > 4 && w[1] == "replica" && w[2] == s.id && w[3] == "runs" {
			reached[w[4]] = true
		}
	}
	first := make(map[string]time.Time)
	for _, v := range all {
		if v.status == 0 || v.header.Get(leaving) == "" || v.header.Get(instance) != s.id {
			continue
		}
		passed++
		if t, ok := first[v.front]; !ok || v.head.Before(t) {
			first[v.front] = v.head
		}
	}
	for _, v := range all {
		if t, ok := first[v.front]; ok && reached[v.id] && v.sent.Sub(t) > drainTime {
			late++
			f.note("BROKEN: request %s, sent %s after %s had passed on that %s leaves, reached it from there", v.id, v.sent.Sub(t), v.front, s.id)
		}
	}
	return late, passed
}

// awaitPlain waits until all gateways serve the path.
func (f *fleet) awaitPlain(path string) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for n, front := range f.fronts {
			if ask(front, http.MethodGet, path, fmt.Sprintf("first-%d-%d", n, time.Now().UnixNano()), time.Second, nil, "").status == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.fronts) {
			return nil
		}
	}
	return fmt.Errorf("%s is not served within 20 s", path)
}

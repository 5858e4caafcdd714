//go:build review

package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["cut-answers"] = cutAnswers }

const (
	// cutTime is how long a replica is cut off; the pages have cuts of 5 s and more.
	cutTime = time.Second
	// streamSize is the number of events of a stream: the largest one of the sheet. They take 2.7 s.
	streamSize = 60
)

// cutAnswers: replicas answer with neither a length nor chunks. One of six is cut off for a second, its process
// ends behind the cut and starts again. No client may get a success that looks whole and isn't.
func cutAnswers(f *fleet, trouble bool) (bool, error) {
	f.unframed = true
	// For comparison: no relays and no cut; a gateway is frozen while the process of the replica ends and starts again.
	freeze := os.Getenv("FREEZE") == "1"
	f.direct = freeze
	f.configure(1, []route{{prefix: "/lease/", kind: "streaming", service: engines, resumable: true, timeout: 6000, aim: 400, attempts: 2}})
	for range 6 {
		if _, err := f.addServer(engines, 1); err != nil {
			return false, err
		}
	}
	if err := f.addGateways(2); err != nil {
		return false, err
	}
	if err := f.awaitStreams("/lease/"); err != nil {
		return false, err
	}
	var mu sync.Mutex
	var g sync.WaitGroup
	var all []answer
	end := time.Now().Add(9 * time.Second)
	for n := range 24 {
		g.Add(1)
		go func() {
			defer g.Done()
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprintf("c%d-%d", n, i)
				f.note("client sends %s", id)
				a := stream(f.fronts[n%len(f.fronts)], "/lease/x", id, streamSize)
				f.note("client got %s", a)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	if trouble {
		time.Sleep(3 * time.Second)
		hit := f.cutAndRestart
		if freeze {
			hit = f.freezeAndRestart
		}
		if err := hit(f.servers[0]); err != nil {
			return false, err
		}
	}
	g.Wait()
	wrong, whole := 0, 0
	for _, a := range all {
		switch {
		case a.status == http.StatusOK && a.signed && a.ended && !isWholeStream(a, streamSize):
			wrong++
			f.note("BROKEN: looks whole and lacks events: %s; last line %q", a, lastLine(a.body))
		case a.status == http.StatusOK && a.ended:
			whole++
		}
	}
	f.note("%d requests, %d whole streams, %d that look whole and aren't", len(all), whole, wrong)
	fmt.Printf("%d requests, %d whole streams, %d that look whole and aren't\n", len(all), whole, wrong)
	if whole == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return wrong > 0, nil
}

// cutAndRestart cuts a replica off; its process is killed behind the cut and starts again.
func (f *fleet) cutAndRestart(s *server) error {
	// For comparison: the same end of the process without a cut. Its port refuses connections then.
	isCut := os.Getenv("CUT") != "0"
	if isCut {
		f.note("cuts off %s (%s)", s.id, s.link.address)
		s.link.cut()
		defer func() {
			f.note("the cut of %s ends", s.link.address)
			s.link.heal()
		}()
	}
	time.Sleep(cutTime / 4)
	f.note("kills %s", s.id)
	if !isCut {
		s.link.shut()
	}
	s.signal(syscall.SIGKILL)
	<-s.done
	old := s.id
	time.Sleep(cutTime / 4)
	if err := f.startServer(s, 0); err != nil {
		return err
	}
	if !isCut {
		if err := s.link.open(); err != nil {
			return err
		}
	}
	f.note("%s is back as %s", old, s.id)
	time.AfterFunc(3*time.Second, func() { f.drop(old) })
	time.Sleep(cutTime / 4)
	return nil
}

// freezeAndRestart stops the first gateway for about a second; the process of the replica is killed and starts again meanwhile.
func (f *fleet) freezeAndRestart(s *server) error {
	f.note("freezes %s", f.gateways[0].name)
	f.gateways[0].signal(syscall.SIGSTOP)
	defer func() {
		f.gateways[0].signal(syscall.SIGCONT)
		f.note("%s goes on", f.gateways[0].name)
	}()
	time.Sleep(cutTime / 4)
	f.note("kills %s", s.id)
	s.kill()
	old := s.id
	time.Sleep(cutTime / 4)
	if err := f.startServer(s, 0); err != nil {
		return err
	}
	f.note("%s is back as %s", old, s.id)
	time.AfterFunc(3*time.Second, func() { f.drop(old) })
	time.Sleep(cutTime / 4)
	return nil
}

// awaitStreams waits until all gateways serve streams.
func (f *fleet) awaitStreams(path string) error {
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		ready := 0
		for n, front := range f.fronts {
			a := stream(front, path+"x", fmt.Sprintf("first-%d-%d", n, time.Now().UnixNano()), 1)
			if a.status == http.StatusOK && isWholeStream(a, 1) {
				ready++
			}
		}
		if ready == len(f.fronts) {
			return nil
		}
	}
	return fmt.Errorf("no stream is served within 20 s")
}

func lastLine(s string) string {
	l := strings.Split(strings.TrimRight(s, "\n"), "\n")
	return l[len(l)-1]
}

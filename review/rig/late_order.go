//go:build review

package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["late-order"] = lateOrder }

const (
	// silence is how long a sound engine is silent; the letters say a second or so.
	silence = time.Second
	// spoiltAge is the age from which a spoilt piece counts, by the rule.
	spoiltAge = 3 * time.Second
)

// lateOrder: while a version is loaded, one staged piece of each engine turns bad. The engines fall silent for a
// second twice, which is no trouble in the rules. No engine may take a layer with a piece that has been bad for
// more than 3 s.
func lateOrder(f *fleet, trouble bool) (bool, error) {
	f.call, f.stopsAtOrder = 2*time.Millisecond, true
	slow := os.Getenv("SLOW") == "1"
	if slow {
		// For comparison: no silences, but engines that take 32 ms for a call.
		f.call, f.stopsAtOrder = 32*time.Millisecond, false
	}
	f.configure(1, []route{{prefix: "/lease/", kind: "streaming", service: engines, resumable: true, timeout: 6000, aim: 400, attempts: 2}})
	for range 4 {
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
	served := make(map[string]int)
	named := time.Now().Add(3 * time.Second)
	end := named.Add(14 * time.Second)
	if slow {
		end = named.Add(40 * time.Second)
	}
	for n := range 24 {
		g.Add(1)
		go func() {
			defer g.Done()
			for i := 0; time.Now().Before(end); i++ {
				a := stream(f.fronts[n%len(f.fronts)], "/lease/x", fmt.Sprintf("c%d-%d", n, i), 60)
				if a.status == http.StatusOK && a.ended {
					mu.Lock()
					served[a.version]++
					mu.Unlock()
				}
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Until(named))
	f.note("names version 2")
	f.store.put(operatorTopic, "version/"+model, []byte(`{"model":"`+model+`","version":2}`))
	watchEnd := make(chan struct{})
	go f.watchRecord(trouble, slow, watchEnd)
	g.Wait()
	close(watchEnd)
	b, err := os.ReadFile(f.record.Name())
	if err != nil {
		return false, err
	}
	accepted, wrong := 0, 0
	for line := range strings.Lines(string(b)) {
		if strings.Contains(line, " accepted-order ") {
			accepted++
		}
		if _, age, ok := strings.Cut(line, " age "); ok && strings.Contains(line, " loaded-wrong ") {
			if d, err := time.ParseDuration(strings.TrimSpace(age)); err == nil && d > spoiltAge {
				wrong++
			}
		}
	}
	f.note("%d orders accepted, %d engines took a piece that had been bad for over %s; streams by version: %v", accepted, wrong, spoiltAge, served)
	fmt.Printf("%d orders accepted, %d engines took a piece that had been bad for over %s; streams by version: %v\n", accepted, wrong, spoiltAge, served)
	if accepted == 0 {
		return false, fmt.Errorf("no order was accepted")
	}
	return wrong > 0, nil
}

// watchRecord follows the record: it spoils the first piece once it has been read for the last time before the
// order, and makes the engine silent then; and it ends the silences.
func (f *fleet) watchRecord(trouble, slow bool, done chan struct{}) {
	r, err := os.Open(f.record.Name())
	if err != nil {
		return
	}
	defer func() { _ = r.Close() }()
	lines := bufio.NewReader(r)
	spoilt, passes := make(map[string]bool), make(map[string]int)
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			continue
		}
		for _, s := range f.servers {
			switch {
			case strings.Contains(line, "replica "+s.id+" read - 0\n") && !spoilt[s.id] && s.isStaged():
				if passes[s.id]++; slow && passes[s.id] < 3 {
					// The pieces are read three times if that takes long.
					break
				}
				spoilt[s.id] = true
				if trouble {
					f.note("piece 0 of %s turns bad", s.id)
					_ = os.WriteFile(filepath.Join(f.dir, "staged-"+s.ip, "0"), []byte("bad"), 0o644)
				}
				if slow {
					break
				}
				s.signal(syscall.SIGSTOP)
				f.note("%s is silent within the reads", s.id)
				f.goOn(s)
			case strings.Contains(line, "replica "+s.id+" silent "):
				f.goOn(s)
			}
		}
	}
}

// isStaged reports whether the agent has logged that all pieces of version 2 are staged. The next time that it reads
// them is the last one before its order.
func (s *server) isStaged() bool {
	b, err := os.ReadFile(s.agent.log)
	return err == nil && strings.Contains(string(b), "event=version-staged instance="+s.agent.name+" version=2")
}

// goOn ends the silence of an engine after its time.
func (f *fleet) goOn(s *server) {
	time.AfterFunc(silence, func() {
		f.note("%s goes on", s.id)
		s.signal(syscall.SIGCONT)
	})
}

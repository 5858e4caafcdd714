//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["release"] = releasePlay }

// releasePlay is no case (see REPORT-2.md): replicas that answer streams with neither a length nor chunks are replaced one
// after the other. Each closes its port once it has drained, ends the streams that it has begun, and exits.
func releasePlay(f *fleet, trouble bool) (bool, error) {
	f.unframed, f.exits, f.direct = true, true, true
	f.configure(1, []route{{prefix: "/lease/", kind: "streaming", service: engines, resumable: true, timeout: 6000, aim: 400, attempts: 2}})
	for range 8 {
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
	end := time.Now().Add(16 * time.Second)
	for n := range 32 {
		g.Add(1)
		go func() {
			defer g.Done()
			for i := 0; time.Now().Before(end); i++ {
				a := stream(f.fronts[n%2], "/lease/x", fmt.Sprintf("c%d-%d", n, i), 60)
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if !a.ended {
					f.note("client got %s", a)
				}
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		for k := range 4 {
			f.servers[k].signal(syscall.SIGTERM)
			time.Sleep(time.Second)
		}
	}
	g.Wait()
	broken, whole := 0, 0
	for _, a := range all {
		switch {
		case a.status == http.StatusOK && a.ended:
			whole++
		case a.status == http.StatusOK:
			broken++
			f.note("BROKEN %s has %d events", a, strings.Count(a.body, "\n\n"))
		}
	}
	fmt.Println(len(all), "requests", whole, "whole", broken, "broken off")
	return broken > 3, nil
}

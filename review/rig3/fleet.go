//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	began time.Time
}

func (r *record) add(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// The zones of a small deployment, with their regions and the first bytes of their addresses.
var zones = []struct{ name, region, net string }{
	{"tanta", "gharbia", "127.81.1"}, {"mansoura", "dakahlia", "127.81.2"}, {"damanhur", "beheira", "127.81.3"},
}

const service, host, prefix, key = "assistant", "jepu9.example", "/lepu270/", "jnbanfqasnmgkcuyj8pj"

// The plain service of a small deployment.
const plainService, plainHost, plainPrefix = "booking", "voka93.example", "/filo73/"

// fleet is a small deployment: a gateway, an agent and a replica in each zone.
type fleet struct {
	record   *record
	store    *store
	weights  *weights
	replicas []*replica
	plain    []*plainReplica
	fronts   []string
	readies  []string
	dir      string
	done     chan struct{}
	mu       sync.Mutex
	procs    []*exec.Cmd
	servers  []*server
	config   map[string]any
	// start starts the gateways and agents, and otherOrigin is an address for a second origin.
	start       func() error
	origin      *server
	otherOrigin string
}

// ports finds ports that are free at all addresses.
func ports(n int, ips []string) ([]int, error) {
	var l []int
	for range 2000 {
		p := 20000 + rand.IntN(20000)
		ok := true
		for _, ip := range ips {
			a, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if err != nil {
				ok = false
				break
			}
			_ = a.Close()
		}
		if ok {
			if l = append(l, p); len(l) == n {
				return l, nil
			}
		}
	}
	return nil, fmt.Errorf("no free ports")
}

// newFleet starts the stand-ins. stageTime is the time of a read or write of a staged piece.
func newFleet(rec *record, w *weights, stageTime time.Duration) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, store: newStore(), weights: w, dir: dir, done: make(chan struct{})}
	ips := []string{"127.81.0.1"}
	for _, z := range zones {
		ips = append(ips, z.net+".1", z.net+".2", z.net+".3")
	}
	p, err := ports(8, ips)
	if err != nil {
		return nil, err
	}
	front, ready, control, peers, app, metrics, stores := p[0], p[1], p[2], p[3], p[4], p[5], p[6]
	storeAddress, originAddress := fmt.Sprintf("127.81.0.1:%d", stores), fmt.Sprintf("127.81.0.1:%d", app)
	for a, h := range map[string]http.Handler{storeAddress: f.store, originAddress: &origin{weights: w}} {
		s := &server{address: a, handler: h}
		if err := s.start(); err != nil {
			return nil, err
		}
		f.servers = append(f.servers, s)
		if a == originAddress {
			f.origin = s
		}
	}
	f.otherOrigin = fmt.Sprintf("127.81.0.1:%d", p[7])
	f.config = map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-1", "hostname": host, "pathPrefix": prefix, "routeType": "streaming", "timeoutMs": 6000, "targetLatencyMs": 400, "priority": 1,
			"service": service, "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "targetGapMs": 300, "allowedRegions": []string{},
		}, {
			"name": "r-2", "hostname": plainHost, "pathPrefix": plainPrefix, "routeType": "non_idempotent", "timeoutMs": 1000, "targetLatencyMs": 150, "priority": 2,
			"service": plainService, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false, "targetGapMs": 0, "allowedRegions": []string{},
		}},
		"services": []map[string]any{
			{
				"name": service, "healthPath": "/healthz", "maxConnections": 434, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
				"engine": map[string]any{
					"slots": slots, "kvCapacityTokens": 1640000, "stride": 6, "models": []map[string]any{{"name": model, "pace": 1.0, "loadS": 4.0, "warmupS": 0.3}},
					"megabytes": 282000.0, "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0, "pairs_per_m": 0.647, "chunk": 2048,
					"report_lag_ms": 200.0, "usual": map[string]int{"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0, "chunks": pieces, "chunkBytes": pieceSize,
				},
			},
			{"name": plainService, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
			{"name": "ledger", "origin": originAddress, "zone": "mansoura", "linkMbps": 7.3, "maxConnections": 48},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "bozi300", "apiKeys": []string{key}, "priority": 1, "allowedRegions": []string{}}},
	}
	f.putConfig()
	var regions, seeds []string
	for _, z := range zones {
		regions = append(regions, z.name+"="+z.region)
		seeds = append(seeds, fmt.Sprintf("%s.1:%d", z.net, control))
	}
	for _, z := range zones {
		gw, side := z.net+".1", z.net+".2"
		f.fronts = append(f.fronts, fmt.Sprintf("%s:%d", gw, front))
		f.readies = append(f.readies, fmt.Sprintf("%s:%d", gw, ready))
		r := &replica{
			name: z.name, zone: z.name, service: service, store: f.store, weights: w, record: rec, stageTime: stageTime,
			staged: make(map[int][]byte), ran: make(map[string]int), begun: make(map[string]bool),
		}
		r.server = &server{address: fmt.Sprintf("%s:%d", side, app), handler: r}
		for n := range pieces {
			r.staged[n] = w.piece(1, n)
		}
		if err := r.boot(1); err != nil {
			return nil, err
		}
		go r.run(f.done)
		f.replicas = append(f.replicas, r)
		b := &plainReplica{id: "i-booking-" + z.name, zone: z.name, store: f.store, born: time.Now().UnixMilli(), ran: make(map[string]int)}
		b.server = &server{address: fmt.Sprintf("%s.3:%d", z.net, app), handler: b}
		if err := b.start(); err != nil {
			return nil, err
		}
		f.servers = append(f.servers, b.server)
		rec.add("plain replica %s starts", b.id)
		go b.run(f.done)
		f.plain = append(f.plain, b)
	}
	f.start = func() error {
		for i, z := range zones {
			gw, side, r := z.net+".1", z.net+".2", f.replicas[i]
			err := f.command("edge-"+z.name+"-1", []string{"EELGRASS_MEMORY_MB=544", "EELGRASS_LINK_MBPS=2000.0", "EELGRASS_HALF_OPEN=mixed"},
				"target/eelgrass-gateway", "direct", "--name=edge-"+z.name+"-1", "--failure-domain="+z.name, "--regions="+strings.Join(regions, ","),
				"--front="+f.fronts[i], "--ready="+f.readies[i], fmt.Sprintf("--peers=%s:%d", gw, control), "--seeds="+strings.Join(seeds, ","),
				fmt.Sprintf("--metrics=%s:%d", gw, metrics), "--store="+storeAddress, "--cold-factor=1.5", "--cold-slack=5", "--retry-ratio=0.2",
				"--retry-extra=106", "--drain-ms=2000", "--stop-seconds=8", "--version-ms=8000", "--descriptors=8200")
			if err != nil {
				return err
			}
			err = f.command("side-"+z.name+"-1", []string{"EELGRASS_MEMORY_MB=152", "EELGRASS_LEND_COLD_RATE=ranked"},
				"target/eelgrass-agent", "direct", "--name=side-"+z.name+"-1", "--failure-domain="+z.name, "--regions="+strings.Join(regions, ","),
				"--engine="+r.address, "--service="+service, fmt.Sprintf("--peers=%s:%d", side, peers), "--seeds="+strings.Join(seeds, ","),
				fmt.Sprintf("--metrics=%s:%d", side, metrics), "--store="+storeAddress, "--link-mbps=7.3", "--region-mbps=20", "--cold-factor=1.5",
				"--cold-slack=5", "--version-ms=8000", "--descriptors=2048")
			if err != nil {
				return err
			}
		}
		return nil
	}
	return f, f.start()
}

func (f *fleet) putConfig() {
	b, _ := json.Marshal(f.config)
	f.store.put("keyed.op", "config", b)
}

// name declares a version of the weights.
func (f *fleet) name(version int64) time.Time {
	b, _ := json.Marshal(map[string]any{"model": model, "version": version})
	f.record.add("operator declares version %d", version)
	return f.store.put("keyed.op", "version/"+model, b)
}

// command starts a program, whose output goes to a file in the temporary folder.
func (f *fleet) command(name string, env []string, program string, arguments ...string) error {
	out, err := os.OpenFile(filepath.Join(f.dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, arguments...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.procs = append(f.procs, c)
	return nil
}

// kill ends the gateways and agents.
func (f *fleet) kill() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.procs {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	f.procs = nil
}

// logLines returns the lines of a program's output that hold all words.
func (f *fleet) logLines(name string, words ...string) (l []string) {
	b, err := os.Open(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil
	}
	defer func() { _ = b.Close() }()
	s := bufio.NewScanner(b)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		ok := true
		for _, w := range words {
			ok = ok && strings.Contains(s.Text(), w)
		}
		if ok {
			l = append(l, s.Text())
		}
	}
	return l
}

// end ends all processes that the case started.
func (f *fleet) end() {
	close(f.done)
	f.kill()
	for _, r := range f.replicas {
		r.stop()
	}
	for _, s := range f.servers {
		s.stop()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// awaitReady waits until all gateways say that they are ready and all replicas serve the version.
func (f *fleet) awaitReady(version int64, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ok := true
		for _, a := range f.readies {
			r, err := http.Get("http://" + a + "/eelgrassdrift/readyz")
			if err != nil {
				ok = false
				continue
			}
			ok = ok && r.StatusCode == http.StatusOK
			_ = r.Body.Close()
		}
		if ok && f.serving(version) == len(f.replicas) {
			return true
		}
	}
	return false
}

// serving returns the number of replicas that serve the version.
func (f *fleet) serving(version int64) (n int) {
	for _, r := range f.replicas {
		r.mu.Lock()
		if r.up && r.version == version {
			n++
		}
		r.mu.Unlock()
	}
	return n
}

// result is that of a client's attempt.
type result struct {
	id      string
	sent    time.Time
	served  bool
	outcome string
}

// clients sends requests at a rate to the gateways in turn until done, and returns their results.
func (f *fleet) clients(rate float64, done <-chan struct{}) []result {
	return f.load(rate, done, f.send)
}

// load does the same with a function that sends a request to a gateway.
func (f *fleet) load(rate float64, done <-chan struct{}, send func(front, id string) result) []result {
	var mu sync.Mutex
	var all []result
	var w sync.WaitGroup
	t := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-done:
			w.Wait()
			return all
		case <-t.C:
		}
		w.Add(1)
		go func() {
			defer w.Done()
			id := fmt.Sprintf("%016x", rand.Uint64())
			r := send(f.fronts[n%len(f.fronts)], id)
			r.id = id
			f.record.add("request %s sent %.3f: %s", id, r.sent.Sub(f.record.began).Seconds(), r.outcome)
			mu.Lock()
			all = append(all, r)
			mu.Unlock()
		}()
	}
}

func (f *fleet) send(front, id string) result {
	return f.sendPrompt(front, id, "5c1e07a2:40,"+id[:8]+":60")
}

// sendPrompt sends a request with the parts of a prompt.
func (f *fleet) sendPrompt(front, id, prompt string) result {
	v := result{sent: time.Now()}
	q, _ := http.NewRequest(http.MethodPost, "http://"+front+prefix+"2f", strings.NewReader("{}"))
	q.Host = host
	for k, x := range map[string]string{
		"Request-Id": id, "Model": model, "Token-Count": "100,48", "Prompt-Prefix": prompt, "Deadline-Ms": "6000",
	} {
		q.Header.Set("Eelgrassdrift-"+k, x)
	}
	q.Header.Set("Authorization", "Bearer "+key)
	c := http.Client{Timeout: 6 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		v.outcome = "error " + err.Error()
		return v
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	v.outcome = fmt.Sprintf("status %d, %d bytes", r.StatusCode, len(b))
	if err != nil {
		v.outcome += ", cut: " + err.Error()
		return v
	}
	v.served = r.StatusCode == http.StatusOK && r.Header.Get("Eelgrassdrift-Response-Signature") != "" &&
		strings.Contains(string(b), fmt.Sprintf("id: %d\n", events))
	return v
}

//go:build review

package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The deployment: two zones in regions of their own, bounds and limits as on the pages of the small
// deployments.
var zones = []string{"tanta", "mansoura"}

const regions = "tanta=gharbia,mansoura=dakahlia"

// process is a program that the rig started.
type process struct {
	name string
	args []string
	env  []string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) start() error {
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Env = append(os.Environ(), p.env...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.done = make(chan struct{})
	if err := p.cmd.Start(); err != nil {
		return err
	}
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// server is a replica with its link and, at an engine, its agent.
type server struct {
	process
	id, service, zone, ip string
	link                  *link
	// keepsID makes the replica start again under the id that it had.
	keepsID bool
	starts  int
	agent   *process
}

// fleet is a small deployment.
type fleet struct {
	dir      string
	record   *os.File
	store    *store
	storeAt  string
	originAt string
	gateways []*process
	fronts   []string
	servers  []*server
	unframed bool
	// stopsAtOrder makes engines fall silent when an order arrives.
	stopsAtOrder bool
	// direct leaves out the relays.
	direct bool
	// exits makes replicas exit after SIGTERM, once they have drained.
	exits bool
	// call is the time of a call that reads or writes staged pieces at an engine.
	call time.Duration
	// onEntry is called with the id of each replica that has written its entry; it may be nil.
	onEntry func(id string)
	net     int
}

// newFleet prepares a fleet whose processes use a temporary folder.
func newFleet(record string) (*fleet, error) {
	f := &fleet{store: newStore(), net: os.Getpid()}
	var err error
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if f.record, err = os.OpenFile(record, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o644); err != nil {
		return nil, err
	}
	m := http.NewServeMux()
	m.Handle("/", f.store)
	m.HandleFunc("/entry", func(w http.ResponseWriter, q *http.Request) {
		b, _ := io.ReadAll(q.Body)
		if f.store.isDown() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		f.store.put(serverTopic, q.FormValue("key"), b)
		if f.onEntry != nil {
			f.onEntry(q.FormValue("key"))
		}
	})
	if f.storeAt, err = serve(f.ip(1)+":0", m); err != nil {
		return nil, err
	}
	f.originAt, err = serve(f.ip(2)+":0", http.HandlerFunc(serveOrigin))
	return f, err
}

// ip returns an address of the loopback range that no other run uses at the same time.
func (f *fleet) ip(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 1+f.net/200%200, 1+f.net%200, n)
}

func serve(address string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(l) }()
	return l.Addr().String(), nil
}

// serveOrigin serves the pieces of all versions and their digests.
func serveOrigin(w http.ResponseWriter, q *http.Request) {
	v, _ := strconv.ParseInt(q.FormValue("version"), 10, 64)
	if strings.HasPrefix(q.URL.Path, "/eelgrassdrift/manifest/") {
		var d []string
		for n := range pieces {
			h := sha256.Sum256(pieceOf(v, n))
			d = append(d, hex.EncodeToString(h[:]))
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"model": model, "version": v, "chunkBytes": pieceSize, "layers": 16, "digests": d})
		return
	}
	n, _ := strconv.Atoi(q.FormValue("quantity"))
	_, _ = w.Write(pieceOf(v, n))
}

// note writes a line into the record.
func (f *fleet) note(format string, args ...any) {
	_, _ = fmt.Fprintf(f.record, "%s rig %s\n", stamp(), fmt.Sprintf(format, args...))
}

// route describes a route of the configuration.
type route struct {
	prefix, kind, service string
	resumable             bool
	timeout, aim          int
	attempts              int
}

// configure writes a configuration, as the operator does.
func (f *fleet) configure(version int, routes []route) {
	var l []map[string]any
	for _, r := range routes {
		l = append(l, map[string]any{
			"name": "r" + r.prefix, "hostname": "coop.example", "pathPrefix": r.prefix, "routeType": r.kind, "resumable": r.resumable,
			"timeoutMs": r.timeout, "targetLatencyMs": r.aim, "targetGapMs": 300, "priority": 1, "service": r.service,
			"maxAttempts": r.attempts, "public": false, "sticky": r.kind == "streaming", "allowedRegions": []string{},
		})
	}
	b, _ := json.Marshal(map[string]any{
		"version": version, "routes": l,
		"services": []map[string]any{
			{"name": engines, "healthPath": "/healthz", "maxConnections": 434, "coldS": 3.0, "coldPerS": 28.0, "engine": map[string]any{
				"slots": 16, "kvCapacityTokens": 1640000, "stride": 6, "models": []map[string]any{{"name": model, "warmupS": 0.3}},
				"step_ms": 6.73, "read_per_s": 30600.0, "usual": map[string]float64{"prompt": 940, "answer": 120},
				"chunks": pieces, "chunkBytes": pieceSize,
			}},
			{"name": bookings, "healthPath": "/healthz", "maxConnections": 110},
			{"name": "ledger", "origin": f.originAt, "zone": zones[0], "linkMbps": 7.3, "maxConnections": 48},
		},
		"limits":  map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "t1", "apiKeys": []string{"key1"}, "priority": 1, "allowedRegions": []string{}}},
	})
	f.store.put(operatorTopic, "config", b)
}

// command fills the run line of a role of the deploy file.
func command(role string, values map[string]string) ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	_, section, ok := bytes.Cut(b, []byte("[roles."+role+"]"))
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(section)
	if !ok || m == nil {
		return nil, fmt.Errorf("deploy/system.toml has no role %s", role)
	}
	line := strings.ReplaceAll(string(m[1]), "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", regions)
	var missing []string
	line = regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(line, func(s string) string {
		v, ok := values[strings.Trim(s, "{}")]
		if !ok {
			missing = append(missing, s)
		}
		return v
	})
	if missing != nil {
		return nil, fmt.Errorf("no value for %v", missing)
	}
	return strings.Fields(line), nil
}

func freePort(ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return ""
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// values are the fields of the platform that all processes have in common.
func (f *fleet) values(name, zone, ip string) map[string]string {
	return map[string]string{
		"nodeName": name, "zone": zone, "ip": ip, "seeds": strings.Join(f.seeds(), ","), "platform.address": f.storeAt,
		"bounds.coldFactor": "1.5", "bounds.coldSlack": "5", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetExtra": "106",
		"bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.version_ms": "8000",
	}
}

func (f *fleet) seeds() []string { return []string{f.ip(10) + ":8000", f.ip(11) + ":8000"} }

// addGateways starts n gateways, at most two.
func (f *fleet) addGateways(n int) error {
	for i := range n {
		ip, zone := f.ip(10+i), zones[i%len(zones)]
		name := "edge-" + zone + "-1"
		v := f.values(name, zone, ip)
		v["listen.front"], v["listen.ready"], v["listen.control"], v["limits.maxFds"] = ip+":8005", ip+":8002", ip+":8000", "8200"
		args, err := command("gateway", v)
		if err != nil {
			return err
		}
		p := &process{
			name: name, args: args, log: filepath.Join(f.dir, name+".log"),
			env: []string{"EELGRASS_MEMORY_MB=544", "EELGRASS_LINK_MBPS=2000.0", "EELGRASS_HALF_OPEN=mixed"},
		}
		f.gateways, f.fronts = append(f.gateways, p), append(f.fronts, ip+":8005")
		if err := p.start(); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a replica and, at an engine, its agent.
func (f *fleet) addServer(service string, version int64) (*server, error) {
	n := len(f.servers)
	s := &server{service: service, zone: zones[n%len(zones)], ip: f.ip(40 + n)}
	f.servers = append(f.servers, s)
	inner := freePort(f.ip(140 + n))
	var err error
	if f.direct {
		s.link = &link{address: s.ip + ":8001", to: s.ip + ":8001"}
	} else if s.link, err = newLink(s.ip+":8001", inner); err != nil {
		return s, err
	}
	if err := f.startServer(s, version); err != nil || service != engines {
		return s, err
	}
	v := f.values("side-"+strconv.Itoa(n), s.zone, s.ip)
	v["app"], v["service"], v["portRange.0"], v["limits.linkMbps"], v["limits.maxFds"] = s.ip+":8001", service, "7700", "7.3", "2048"
	args, err := command("agent", v)
	if err != nil {
		return s, err
	}
	s.agent = &process{
		name: "side-" + strconv.Itoa(n), args: args, log: filepath.Join(f.dir, "side-"+strconv.Itoa(n)+".log"),
		env: []string{"EELGRASS_MEMORY_MB=152", "EELGRASS_LEND_COLD_RATE=ranked"},
	}
	return s, s.agent.start()
}

// startServer starts the process of a replica, as a new incarnation with a new id.
func (f *fleet) startServer(s *server, version int64) error {
	s.starts++
	if !s.keepsID || s.id == "" {
		s.id = fmt.Sprintf("i-%s-%d", strings.ReplaceAll(s.ip[strings.LastIndexByte(s.ip, '.')+1:], ".", ""), s.starts)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	s.process = process{name: s.id, log: filepath.Join(f.dir, s.id+".log"), args: []string{
		self, "replica", "-id", s.id, "-listen", s.link.to, "-address", s.link.address, "-service", s.service, "-zone", s.zone,
		"-store", f.storeAt, "-dir", filepath.Join(f.dir, "staged-"+s.ip), "-version", strconv.FormatInt(version, 10),
		"-record", f.record.Name(), fmt.Sprintf("-unframed=%t", f.unframed), fmt.Sprintf("-stops-at-order=%t", f.stopsAtOrder), fmt.Sprintf("-exits=%t", f.exits), "-call", f.call.String(),
	}}
	if err := s.start(); err != nil {
		return err
	}
	for range 200 {
		if c, err := net.Dial("tcp", s.link.to); err == nil {
			return c.Close()
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("replica %s doesn't listen", s.id)
}

// drop removes the entry of a replica, as the platform does after three heartbeats of silence.
func (f *fleet) drop(id string) { f.store.put(serverTopic, id, nil) }

// stop ends all processes and removes the folder.
func (f *fleet) stop() {
	for _, p := range f.gateways {
		if p.done != nil {
			p.kill()
		}
	}
	for _, s := range f.servers {
		if s.agent != nil && s.agent.done != nil {
			s.agent.kill()
		}
		if s.done != nil {
			s.kill()
		}
		if s.link != nil && !f.direct {
			s.link.shut()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
	_ = f.record.Close()
}

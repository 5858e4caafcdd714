//go:build review

package harness

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord makes the record in the folder.
func NewRecord(folder string) *Record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		Fail("record: %v", err)
	}
	return &Record{file: f, began: time.Now()}
}

// Printf writes a line with the time since the start of the case.
func (r *Record) Printf(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, a...))
}

// Fail ends the case as one that couldn't run.
func Fail(format string, a ...any) {
	fmt.Printf("the case couldn't run: "+format+"\n", a...)
	end(2)
}

// maxTime bounds a run.
const maxTime = 118 * time.Second

// watch ends the case, and the processes that it started, after maxTime or at a signal.
func watch() {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case s := <-stop:
			Fail("%s", s)
		case <-time.After(maxTime):
			Fail("it took %s", maxTime)
		}
	}()
}

// Finish ends the case with the result.
func (r *Record) Finish(broken bool, format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	code, word := 0, "HELD"
	if broken {
		code, word = 1, "BROKEN"
	}
	r.Printf("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	end(code)
}

// Trouble reports whether the case is to be played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Zones are those of the site, with their regions.
const zones = "tanta=gharbia,mansoura=dakahlia,damanhur=beheira"

// Bounds of the site.
const (
	DrainMS   = 2000
	GraceS    = 8
	VersionMS = 8000
)

// Process is a program of the project.
type Process struct {
	Name string
	args []string
	log  string

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

var (
	processesMu sync.Mutex
	processes   []*Process
)

// Start starts the program.
func (p *Process) Start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	f, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		Fail("log: %v", err)
	}
	p.cmd = exec.Command(p.args[0], p.args[1:]...)
	p.cmd.Stdout, p.cmd.Stderr = f, f
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := p.cmd.Start(); err != nil {
		Fail("%s: %v", p.Name, err)
	}
	end := make(chan struct{})
	p.end = end
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		_ = f.Close()
		close(end)
	}()
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails if the process has ended
	}
}

// Wait returns when the process has ended.
func (p *Process) Wait() {
	p.mu.Lock()
	end := p.end
	p.mu.Unlock()
	if end != nil {
		<-end
	}
}

// folders holds the temporary folders.
var folders []string

// end ends all processes that were started, removes the temporary folders and exits.
func end(code int) {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		p.Wait()
	}
	for _, d := range folders {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(d)
		}
	}
	os.Exit(code)
}

// Fleet is a small deployment on addresses of the loopback range.
type Fleet struct {
	Record *Record
	Store  *Store
	net    string
	next   int
	seeds  []string
	folder string
}

// NewFleet returns a deployment without machines. Its logs go to a temporary folder.
func NewFleet(caseFolder string) *Fleet {
	d, err := os.MkdirTemp("", "review-")
	if err != nil {
		Fail("temporary folder: %v", err)
	}
	folders = append(folders, d)
	watch()
	f := &Fleet{Record: NewRecord(caseFolder), Store: NewStore(), folder: d}
	f.net = fmt.Sprintf("127.%d.%d", 2+rand.IntN(250), rand.IntN(250))
	if Trouble() {
		f.Record.Printf("with the disruption")
	} else {
		f.Record.Printf("without the disruption")
	}
	if k := os.Getenv("KEEP"); k != "" {
		fmt.Println("logs in", d)
	}
	return f
}

// IP returns a new address of the loopback range.
func (f *Fleet) IP() string {
	f.next++
	return fmt.Sprintf("%s.%d", f.net, f.next)
}

// Serve serves on a port of the address; port 0 stands for a free one.
func (f *Fleet) Serve(address string, h http.Handler) (netip.AddrPort, *http.Server) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		Fail("listen: %v", err)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.Serve(l) }()
	return l.Addr().(*net.TCPAddr).AddrPort(), s
}

var placeholder = regexp.MustCompile(`\{\{([^{}]*)\}\}`)

// args returns the words of the run line of a role in the deploy file with its values.
func args(role string, values map[string]string) []string {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		Fail("%v", err)
	}
	_, part, ok := strings.Cut(string(b), "[roles."+role+"]")
	if !ok {
		Fail("the deploy file has no role %s", role)
	}
	_, part, _ = strings.Cut(part, `run = "`)
	line, _, _ := strings.Cut(part, "\"\n")
	line = strings.ReplaceAll(line, "{{#zones}}{{@}}={{.}}{{,}}{{/zones}}", zones)
	line = placeholder.ReplaceAllStringFunc(line, func(s string) string {
		v, ok := values[s[2:len(s)-2]]
		if !ok {
			Fail("no value for %s", s)
		}
		return v
	})
	return strings.Fields(line)
}

func (f *Fleet) values(name, zone, ip string, door netip.AddrPort) map[string]string {
	return map[string]string{
		"nodeName": name, "zone": zone, "ip": ip, "seeds": strings.Join(f.seeds, ","), "platform.address": door.String(),
		"bounds.coldFactor": "1.5", "bounds.coldSlack": "5", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetExtra": "106",
		"bounds.drainMs": "2000", "bounds.graceS": "8", "bounds.version_ms": "8000", "limits.maxFds": "8200", "limits.linkMbps": "7.3",
		"portRange.0": "7700",
	}
}

// Gateway is a gateway with its addresses and its way to the store.
type Gateway struct {
	*Process
	Front, Ready string
	Door         *Door
}

// AddGateways makes gateways, one for each zone, and starts them.
func (f *Fleet) AddGateways(zones ...string) []*Gateway {
	ips := make([]string, len(zones))
	for i := range zones {
		ips[i] = f.IP()
		f.seeds = append(f.seeds, ips[i]+":8000")
	}
	var l []*Gateway
	for i, z := range zones {
		name := fmt.Sprintf("edge-%s-%d", z, i+1)
		g := &Gateway{Front: ips[i] + ":8005", Ready: ips[i] + ":8002", Door: &Door{Store: f.Store}}
		door, _ := f.Serve(f.IP()+":0", g.Door)
		v := f.values(name, z, ips[i], door)
		v["listen.front"], v["listen.ready"], v["listen.control"] = g.Front, g.Ready, ips[i]+":8000"
		g.Process = f.process(name, args("gateway", v))
		l = append(l, g)
	}
	for _, g := range l {
		g.Start()
	}
	return l
}

// AddAgent makes and starts the agent of an engine, whose machine has the address ip.
func (f *Fleet) AddAgent(r *Replica, ip string) *Process {
	door, _ := f.Serve(f.IP()+":0", &Door{Store: f.Store})
	name := fmt.Sprintf("side-%s-%s", r.Zone, r.ID)
	v := f.values(name, r.Zone, ip, door)
	v["app"], v["service"] = r.Address.String(), r.Service
	p := f.process(name, args("agent", v))
	p.Start()
	return p
}

func (f *Fleet) process(name string, args []string) *Process {
	p := &Process{Name: name, args: args, log: filepath.Join(f.folder, name+".log")}
	processesMu.Lock()
	defer processesMu.Unlock()
	processes = append(processes, p)
	return p
}

// AddReplica makes a replica on a machine of its own and returns that machine's address.
func (f *Fleet) AddReplica(r *Replica, version int64) string {
	ip := f.IP()
	r.Store, r.Record = f.Store, f.Record
	r.Start(version)
	r.Address, _ = f.Serve(ip+":0", r)
	r.Beat()
	return ip
}

// Configure writes a configuration.
func (f *Fleet) Configure(c map[string]any) { f.Store.PutJSON("keyed.op", "config", c) }

// AwaitReady returns when the gateway says that it is ready.
func (g *Gateway) AwaitReady(limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if g.IsReady() {
			return
		}
	}
	Fail("%s isn't ready after %s", g.Name, limit)
}

// IsReady asks the gateway as the platform does.
func (g *Gateway) IsReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + g.Ready + "/eelgrassdrift/readyz")
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK
}

// Caller returns a client of the gateway.
func (f *Fleet) Caller(g *Gateway) *Caller {
	return &Caller{Front: netip.MustParseAddrPort(g.Front), Record: f.Record}
}

// EngineConfig returns a configuration like that of the site: a route of resumable streams to
// engines, and a route each of plain requests that may and may not be repeated. If regions are
// named, the streams may be served there only.
func EngineConfig(version int, origin netip.AddrPort, regions ...string) map[string]any {
	route := func(name, prefix, kind, service string, timeout, aim int) map[string]any {
		return map[string]any{
			"name": name, "hostname": Host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": aim,
			"priority": 1, "service": service, "maxAttempts": 2, "public": false, "sticky": kind == "streaming",
			"resumable": kind == "streaming", "targetGapMs": 300, "allowedRegions": []string{},
		}
	}
	streams := route("lease-dispute", "/lease/", "streaming", "assistant", 6000, 400)
	if len(regions) > 0 {
		streams["allowedRegions"] = regions
	}
	once := route("deposit", "/deposit/", "non_idempotent", "booking", 6000, 150)
	once["maxAttempts"] = 1
	return map[string]any{
		"version": version,
		"routes": []any{
			streams, once, route("lookup", "/lookup/", "idempotent", "booking", 1000, 150),
		},
		"services": []any{
			map[string]any{
				"name": "assistant", "healthPath": "/healthz", "maxConnections": 434, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
				"engine": map[string]any{
					"slots": 16, "models": []any{map[string]any{"name": "m0", "pace": 1.0, "loadS": 4.0, "warmupS": 0.3}}, "step_ms": 6.73,
					"read_per_s": 30600.0, "usual": map[string]any{"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0,
					"chunks": Pieces, "chunkBytes": PieceBytes, "report_lag_ms": 200.0,
				},
			},
			map[string]any{"name": "ledger", "origin": origin.String(), "zone": "mansoura", "linkMbps": 7.3, "maxConnections": 48},
			map[string]any{"name": "booking", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []string{"key1"}, "priority": 1, "allowedRegions": []string{}}},
	}
}

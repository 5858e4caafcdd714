package burst

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Processes is a burst with one process for each instance. The process that
// runs it holds the origin and the links of the regions.
type Processes struct {
	Burst
	// Command is the program and the arguments of an instance's process; it
	// calls RunInstance.
	Command []string
}

// process is a running process of an instance.
type process struct {
	command *exec.Cmd
	lost    atomic.Bool
	reports chan report
	took    time.Duration

	mu  sync.Mutex
	out *json.Encoder
	in  io.Closer
}

func (p *process) tell(o order) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Encode(o)
}

// next returns the next report; a process that ended has none.
func (p *process) next(ctx context.Context) (report, error) {
	select {
	case r, ok := <-p.reports:
		switch {
		case !ok:
			return r, fmt.Errorf("process %d ended early", p.command.Process.Pid)
		case r.Error != "":
			return r, fmt.Errorf("process %d: %s", p.command.Process.Pid, r.Error)
		}
		return r, nil
	case <-ctx.Done():
		return report{}, ctx.Err()
	}
}

// startProcess starts a process; it also ends when the bench does, since its
// orders end then.
func startProcess(command []string) (*process, error) {
	c := exec.Command(command[0], command[1:]...)
	// Many processes share the machine's processors.
	c.Env = append(os.Environ(), "GOMAXPROCS=2")
	c.Stderr = os.Stderr
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	in, err := c.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{command: c, out: json.NewEncoder(in), in: in, reports: make(chan report, 4)}
	go func() {
		defer close(p.reports)
		d := json.NewDecoder(out)
		for {
			var r report
			if d.Decode(&r) != nil {
				return
			}
			p.reports <- r
		}
	}()
	return p, nil
}

// end ends the process by its id and returns the processor time it used.
func (p *process) end() time.Duration {
	_ = p.in.Close()
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	if s := p.command.ProcessState; s != nil {
		return s.UserTime() + s.SystemTime()
	}
	return 0
}

// Run carries out the burst.
func (b *Processes) Run(ctx context.Context) (*Result, error) {
	f := &fleet{Burst: &b.Burst}
	if err := f.prepare(); err != nil {
		return nil, err
	}
	s, err := f.serveOrigin()
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	regions, err := serveRegions(f.regions)
	if err != nil {
		return nil, err
	}
	defer func() { _ = regions.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var all []*process
	defer func() {
		for _, p := range all {
			p.end()
		}
	}()
	for i := range b.Instances {
		p, err := startProcess(b.Command)
		if err != nil {
			return nil, err
		}
		all = append(all, p)
		err = p.tell(order{Setup: &setup{
			Burst: b.settings(), Index: i, Origin: f.originAddr, Version: f.version,
			Regions: regions.Addr().(*net.TCPAddr).AddrPort(),
		}})
		if err != nil {
			return nil, err
		}
	}
	for i, p := range all {
		r, err := p.next(ctx)
		if err != nil {
			return nil, err
		}
		m := b.member(i)
		m.Address = r.Address
		f.members = append(f.members, m)
	}
	// All processes know the start before it comes.
	start := time.Now().Add(500 * time.Millisecond)
	for _, p := range all {
		if err := p.tell(order{Members: f.members, Start: start}); err != nil {
			return nil, err
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { f.cause(ctx, start, disturbProcesses(f, all)) })
	r, err := b.await(ctx, f, all)
	if err != nil {
		cancel()
	}
	wg.Wait()
	return r, err
}

// disturbProcesses returns the ways to cause faults to processes.
func disturbProcesses(f *fleet, all []*process) disturbance {
	signal := func(s os.Signal) func(int) {
		return func(i int) {
			all[i].lost.Store(true)
			_ = all[i].command.Process.Signal(s)
		}
	}
	tell := func(o order) {
		for _, p := range all {
			_ = p.tell(o)
		}
	}
	return disturbance{
		kill:       signal(syscall.SIGKILL),
		freeze:     signal(syscall.SIGSTOP),
		originDown: f.origin.down.Store,
		cut:        func(d string) { tell(order{Cut: d}) },
		heal:       func() { tell(order{Heal: true}) },
	}
}

// await collects the reports. The wait for a process that is frozen or killed
// ends with that of the others.
func (b *Processes) await(ctx context.Context, f *fleet, all []*process) (*Result, error) {
	errs := make(chan error, len(all))
	for _, p := range all {
		go func() {
			r, err := p.next(ctx)
			p.took = r.Took
			errs <- err
		}()
	}
	// A frozen process never reports.
	frozen := 0
	if b.Fault == Stall {
		frozen = 1
	}
	for range len(all) - frozen {
		if err := <-errs; err != nil && b.Fault != Kill {
			return nil, err
		}
	}
	r := &Result{Bound: b.Bound()}
	var took []time.Duration
	var cpu time.Duration
	var sleeps, late int64
	for _, p := range all {
		if p.lost.Load() {
			continue
		}
		if p.took == 0 {
			return nil, fmt.Errorf("process %d has no time", p.command.Process.Pid)
		}
		took = append(took, p.took)
		if err := p.tell(order{Finish: true}); err != nil {
			return nil, err
		}
		e, err := p.next(ctx)
		if err != nil {
			return nil, err
		}
		r.Takeovers += e.Figures.Takeovers
		r.Corrupt += e.Figures.Corrupt
		r.Busiest = max(r.Busiest, float64(e.Figures.Sent)/float64(b.Size))
		sleeps += e.Figures.Sleeps
		late += e.Figures.Late
	}
	for _, p := range all {
		cpu += p.end()
	}
	r.links(f)
	r.times(took)
	r.Cores = cpu.Seconds() / r.T100.Seconds()
	r.Late = float64(late) / float64(max(sleeps, 1))
	return r, nil
}

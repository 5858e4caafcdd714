package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
)

// process is a started binary.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a binary; its log goes to standard error.
func start(ctx context.Context, path string, args ...string) (*process, error) {
	c := exec.CommandContext(ctx, path, args...)
	c.Stderr = os.Stderr
	return startCommand(c)
}

// startCommand starts a prepared command.
func startCommand(c *exec.Cmd) (*process, error) {
	if err := c.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", c.Path)
	}
	p := &process{c, make(chan struct{})}
	go func() {
		_ = c.Wait()
		close(p.done)
	}()
	return p, nil
}

// stop kills the process and waits for its end.
func (p *process) stop() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// peak waits for the end of the process and returns its largest resident memory
// in bytes as seen in the last millisecond. The kernel's ru_maxrss is not used,
// because it includes the memory of this program before the exec.
func (p *process) peak() int64 {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	name, out := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "status"), int64(0)
	for {
		b, _ := os.ReadFile(name)
		out = max(out, peakOf(string(b)))
		select {
		case <-p.done:
			return out
		case <-t.C:
		}
	}
}

// peakOf reads the largest resident memory in bytes from /proc/PID/status, 0
// where it is missing.
func peakOf(status string) int64 {
	_, v, _ := strings.Cut(status, "\nVmHWM:")
	v, _, _ = strings.Cut(v, "kB")
	n, _ := strconv.ParseInt(strings.TrimSpace(v), 10, 64)
	return n << 10
}

// sample is what a process has used since its start.
type sample struct {
	at time.Time
	// processor is the processor time of all threads.
	processor time.Duration
	// received and sent are bytes read and written.
	received, sent int64
	// resident is the memory in use now, in bytes; anonymous leaves out the pages
	// of the binary, which the kernel can drop.
	resident, anonymous int64
}

func (p *process) sample() (sample, error) {
	s := sample{at: time.Now()}
	dir := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	tasks, err := filepath.Glob(filepath.Join(dir, "task", "*", "schedstat"))
	if err != nil || len(tasks) == 0 {
		return s, errors.Newf("no threads in %s", dir)
	}
	for _, t := range tasks {
		f, err := fields(t)
		if err != nil {
			return s, err
		}
		s.processor += time.Duration(f[0])
	}
	f, err := fields(filepath.Join(dir, "io"))
	if err != nil {
		return s, err
	}
	s.received, s.sent = f[0], f[1]
	if f, err = fields(filepath.Join(dir, "statm")); err != nil {
		return s, err
	}
	s.resident, s.anonymous = f[1]*int64(os.Getpagesize()), (f[1]-f[2])*int64(os.Getpagesize())
	return s, nil
}

// fields returns the numbers in a file; other words are left out.
func fields(path string) ([]int64, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var out []int64
	for _, w := range strings.Fields(string(b)) {
		if n, err := strconv.ParseInt(w, 10, 64); err == nil {
			out = append(out, n)
		}
	}
	if len(out) < 2 {
		return nil, errors.Newf("%s has %d numbers", path, len(out))
	}
	return out, nil
}

// usage is what a process uses in a second.
type usage struct {
	// core is the share of a core.
	core           float64
	received, sent float64
	// resident and anonymous are the memory at the end of the span.
	resident, anonymous int64
}

// measure waits for the settling time and samples the process over the span.
func (p *process) measure(ctx context.Context, settle, span time.Duration) (usage, error) {
	if err := sleeper.Sleep(ctx, settle); err != nil {
		return usage{}, err
	}
	a, err := p.sample()
	if err != nil {
		return usage{}, err
	}
	if err := sleeper.Sleep(ctx, span); err != nil {
		return usage{}, err
	}
	b, err := p.sample()
	d := b.at.Sub(a.at).Seconds()
	return usage{
		core:     (b.processor - a.processor).Seconds() / d,
		received: float64(b.received-a.received) / d, sent: float64(b.sent-a.sent) / d, resident: b.resident, anonymous: b.anonymous,
	}, err
}

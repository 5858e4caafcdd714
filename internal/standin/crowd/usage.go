package crowd

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// sampleInterval is the interval at which open descriptors are counted.
const sampleInterval = 20 * time.Millisecond

// Usage is what a process takes of its instance.
type Usage struct {
	// Bytes is the largest resident memory since the start of the process, Descriptors the
	// largest number of open files that was seen.
	Bytes       int64
	Descriptors int
}

var highWater = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// Watch reads the usage of a process until the returned function is called, which returns it.
func Watch(pid int) (end func() (Usage, error)) {
	var u Usage
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() {
		t := time.NewTicker(sampleInterval)
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
			}
			if l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				u.Descriptors = max(u.Descriptors, len(l))
			}
		}
	})
	return func() (Usage, error) {
		close(stop)
		g.Wait()
		b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
		if err != nil {
			return u, errors.Wrap(err, "read the status of the process")
		}
		m := highWater.FindSubmatch(b)
		if m == nil {
			return u, errors.Newf("process %d has ended", pid)
		}
		k, err := strconv.ParseInt(string(m[1]), 10, 64)
		u.Bytes = k << 10
		return u, errors.Wrap(err, "read the memory of the process")
	}
}

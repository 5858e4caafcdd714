package burst

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// serveRegions lets other processes reserve the links of the regions. A request
// is the index of a link (region times two, plus one for the way in) and a
// number of bytes; the answer is the time to wait in nanoseconds.
func serveRegions(all []*region) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				var q [8]byte
				for {
					if _, err := io.ReadFull(c, q[:]); err != nil {
						return
					}
					i, n := binary.LittleEndian.Uint32(q[:4]), binary.LittleEndian.Uint32(q[4:])
					if int(i) >= 2*len(all) {
						return
					}
					x := all[i/2].out
					if i%2 == 1 {
						x = all[i/2].in
					}
					x.bytes.Add(int64(n))
					binary.LittleEndian.PutUint64(q[:], uint64(max(0, x.reserve(int(n)))))
					if _, err := c.Write(q[:]); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l, nil
}

// reachRegions connects to the links of the regions.
func (f *fleet) reachRegions(a netip.AddrPort) error {
	c, err := net.Dial("tcp", a.String())
	if err != nil {
		return err
	}
	var mu sync.Mutex
	reserve := func(i uint32) func(int) time.Duration {
		return func(n int) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			var q [8]byte
			binary.LittleEndian.PutUint32(q[:4], i)
			binary.LittleEndian.PutUint32(q[4:], uint32(n))
			if _, err := c.Write(q[:]); err != nil {
				return 0
			}
			if _, err := io.ReadFull(c, q[:]); err != nil {
				return 0
			}
			return time.Duration(binary.LittleEndian.Uint64(q[:]))
		}
	}
	for i := range uint32(f.Regions) {
		f.regions = append(f.regions, &region{
			out: &link{remote: reserve(2 * i)}, in: &link{remote: reserve(2*i + 1)},
		})
	}
	return nil
}

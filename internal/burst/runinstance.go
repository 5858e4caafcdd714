package burst

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// RunInstance is the process of one instance. It takes orders from in and
// reports to out until in ends.
func RunInstance(ctx context.Context, in io.Reader, out io.Writer, log zerolog.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	orders := json.NewDecoder(bufio.NewReader(in))
	var mu sync.Mutex
	tell := func(r report) {
		mu.Lock()
		defer mu.Unlock()
		_ = json.NewEncoder(out).Encode(r)
	}
	var f *fleet
	var x *instance
	for {
		var o order
		if err := orders.Decode(&o); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		switch {
		case o.Setup != nil:
			f = &fleet{Burst: o.Setup.Burst.burst(), originAddr: o.Setup.Origin, version: o.Setup.Version}
			f.Log = log
			if err := f.reachRegions(o.Setup.Regions); err != nil {
				return err
			}
			x = &instance{host: newHost(f.Link), member: f.member(o.Setup.Index)}
			s, err := serve(x.host, f.build(x, uint64(o.Setup.Index)))
			if err != nil {
				return err
			}
			defer func() { _ = s.Close() }()
			x.place(s.address)
			tell(report{Address: s.address})
		case o.Members != nil:
			f.members = o.Members
			go func() {
				time.Sleep(time.Until(o.Start))
				if err := f.fetch(ctx, 0, x); err != nil {
					tell(report{Error: err.Error()})
					return
				}
				tell(report{Took: time.Since(o.Start)})
			}()
		case o.Cut != "":
			f.cut.begin(o.Cut)
		case o.Heal:
			f.cut.heal()
		case o.Finish:
			s := x.fetcher.Stats()
			tell(report{Figures: &figures{
				Sent: x.host.send.bytes.Load(), Takeovers: s.Takeovers, Corrupt: s.Corrupt,
				Sleeps: x.host.send.sleeps.Load() + x.host.receive.sleeps.Load(),
				Late:   x.host.send.late.Load() + x.host.receive.late.Load(),
			}})
		}
	}
}

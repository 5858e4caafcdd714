package burst

import (
	"fmt"
	"slices"
	"time"
)

// result reads the figures when all instances have ended.
func (f *fleet) result() *Result {
	r := &Result{Bound: f.Bound()}
	r.links(f)
	var took []time.Duration
	var sleeps, late int64
	for _, x := range f.instances {
		s := x.fetcher.Stats()
		r.Takeovers += s.Takeovers
		r.Corrupt += s.Corrupt
		r.Busiest = max(r.Busiest, f.copies(x.host.send))
		sleeps += x.host.send.sleeps.Load() + x.host.receive.sleeps.Load()
		late += x.host.send.late.Load() + x.host.receive.late.Load()
		if !x.lost.Load() {
			took = append(took, x.took)
		}
	}
	r.times(took)
	r.Late = float64(late) / float64(max(sleeps, 1))
	return r
}

// copies returns the copies that passed a link.
func (f *fleet) copies(l *link) float64 { return float64(l.bytes.Load()) / float64(f.Size) }

// links reads the links of the origin and the regions.
func (r *Result) links(f *fleet) {
	r.Origin = f.copies(f.originLink.send)
	for i, x := range f.regions {
		if i > 0 {
			r.Region = max(r.Region, f.copies(x.in))
		}
		r.Out = max(r.Out, f.copies(x.out))
	}
}

// times sets the times from those of the surviving instances.
func (r *Result) times(took []time.Duration) {
	slices.Sort(took)
	r.T90 = took[(len(took)*9+9)/10-1]
	r.T100 = took[len(took)-1]
}

// Header is the header of the table whose rows are String.
const Header = "bound     t90/bound t100/bound  origin  region   out  busiest  takeovers  corrupt  cores   late"

// String returns one row of the table.
func (r *Result) String() string {
	return fmt.Sprintf("%-9v %9.2f %10.2f %7.2f %7.2f %5.2f %8.2f %10d %8d %6.2f %5.1f%%", r.Bound.Round(time.Millisecond),
		r.T90.Seconds()/r.Bound.Seconds(), r.T100.Seconds()/r.Bound.Seconds(),
		r.Origin, r.Region, r.Out, r.Busiest, r.Takeovers, r.Corrupt, r.Cores, 100*r.Late)
}

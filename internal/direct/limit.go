package direct

import (
	"maps"
	"math"
	"os"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
)

// heapShare is the part of the instance's memory from which on the runtime collects more often. The
// rest is for the pages of the program and what the system counts for the process.
const heapShare = 0.8

// limit bounds what the gateway takes by the settings of its instance, and logs the bounds.
func (g *Gateway) limit() {
	if g.Memory == 0 && g.Link == 0 {
		return
	}
	c := forwarder.NewCapacity(g.Memory, g.Link)
	g.front.SetCapacity(c)
	g.refusals = refusalWatch{use: c.Use, log: g.Log}
	if g.Memory > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(heapShare * float64(g.Memory)))
	}
	g.Log.Info().Int64("buffer-bytes", c.Buffers).Int("calls", c.Calls).Float64("link-bytes-per-s", c.Link).Msg("capacity")
}

// refusalWatch logs when the gateway begins and ends to refuse requests because of its own bounds.
type refusalWatch struct {
	use  func() forwarder.CapacityUse
	log  zerolog.Logger
	last map[string]int64
	// began holds the counts before the refusals that go on; nil while there are none.
	began map[string]int64
}

// look compares the counts with those of the last call. It is called every second.
func (r *refusalWatch) look() {
	if r.use == nil {
		return
	}
	u := r.use()
	changed := !maps.Equal(u.Refused, r.last)
	switch {
	case changed && r.began == nil:
		if r.began = r.last; r.began == nil {
			r.began = map[string]int64{}
		}
		r.log.Warn().Interface("refused", since(u.Refused, r.began)).Int("calls", u.Calls).Dur("link-wait-ms", u.LinkWait).Msg("capacity-used-up")
	case !changed && r.began != nil:
		r.log.Info().Interface("refused", since(u.Refused, r.began)).Msg("capacity-free")
		r.began = nil
	}
	r.last = u.Refused
}

// since returns the differences of the counts that have changed.
func since(now, before map[string]int64) map[string]int64 {
	m := make(map[string]int64)
	for k, n := range now {
		if n > before[k] {
			m[k] = n - before[k]
		}
	}
	return m
}

func logPace(l zerolog.Logger, c dispatcher.PaceChange) {
	e := l.Info().Str("endpoint", c.Endpoint.ID).Str("address", c.Endpoint.Address.String())
	if c.Slow {
		e.Float64("factor", c.Factor).Msg("endpoint-slow")
		return
	}
	e.Msg("endpoint-no-longer-slow")
}

func logLengths(l zerolog.Logger, k dispatcher.LengthsKnown) {
	l.Info().Str("service", k.Service).Str("route", k.Route).Float64("tokens-per-event", k.Tokens).Float64("events", k.Events).Msg("lengths-known")
}

func logRecovery(l zerolog.Logger, r dispatcher.Recovery) {
	l.Info().Str("service", r.Service).Str("endpoint", r.Endpoint).Int("failures", r.Failures).Dur("early-ms", r.Early).Msg("endpoint-recovered")
}

func logUneven(l zerolog.Logger, c dispatcher.UnevenChange) {
	e := l.Info().Str("service", c.Service)
	if c.Route != "" {
		e.Str("route", c.Route).Float64("deviation", math.Round(c.Deviation*1000)/1000).Int("responses", c.Responses)
	}
	if c.Uneven {
		e.Msg("lengths-uneven")
		return
	}
	e.Msg("lengths-no-longer-uneven")
}

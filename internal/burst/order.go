package burst

import (
	"net/netip"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// order is what the bench tells a process, one JSON value each.
type order struct {
	// Setup is the first order.
	Setup *setup `json:"setup,omitempty"`
	// Members is the second order; the fetch begins at Start.
	Members []distributor.Member `json:"members,omitempty"`
	Start   time.Time            `json:"start,omitzero"`
	// Cut names a failure domain to be cut off; Heal ends the cut.
	Cut  string `json:"cut,omitempty"`
	Heal bool   `json:"heal,omitempty"`
	// Finish asks for the last report.
	Finish bool `json:"finish,omitempty"`
}

// setup describes an instance.
type setup struct {
	Burst   settings         `json:"burst"`
	Index   int              `json:"index"`
	Origin  netip.AddrPort   `json:"origin"`
	Regions netip.AddrPort   `json:"regions"`
	Version recorder.Version `json:"version"`
}

// settings are the numbers of a Burst.
type settings struct {
	Instances, Regions, Domains     int
	Size, ChunkSize                 int64
	Link, OriginLink, Cross, Pace   float64
	Fault                           Fault
	Seed                            uint64
	Parallel, LeadParallel, Origins int
	SharedParallel, SendParallel    int
}

// report is what a process tells the bench: its address after the setup, the
// time of the fetch, and the figures at the end.
type report struct {
	Address netip.AddrPort `json:"address,omitzero"`
	Took    time.Duration  `json:"took,omitempty"`
	Error   string         `json:"error,omitempty"`
	Figures *figures       `json:"figures,omitempty"`
}

// figures are those of one instance.
type figures struct {
	Sent, Takeovers, Corrupt int64
	Sleeps, Late             int64
}

func (b *Burst) settings() settings {
	var f distributor.Fetcher
	var h distributor.Handler
	if b.Adjust != nil {
		b.Adjust(&f, &h)
	}
	return settings{
		Instances: b.Instances, Regions: b.Regions, Domains: b.Domains, Size: b.Size, ChunkSize: b.ChunkSize,
		Link: b.Link, OriginLink: b.Origin, Cross: b.Cross, Pace: b.Pace, Fault: b.Fault, Seed: b.Seed,
		Parallel: f.Parallel, LeadParallel: f.LeadParallel, Origins: f.OriginParallel, SharedParallel: f.SharedParallel, SendParallel: h.SendParallel,
	}
}

func (s settings) burst() *Burst {
	return &Burst{
		Instances: s.Instances, Regions: s.Regions, Domains: s.Domains, Size: s.Size, ChunkSize: s.ChunkSize,
		Link: s.Link, Origin: s.OriginLink, Cross: s.Cross, Pace: s.Pace, Fault: s.Fault, Seed: s.Seed, Scheme: Ranked,
		Adjust: func(f *distributor.Fetcher, h *distributor.Handler) {
			f.Parallel, f.LeadParallel = s.Parallel, s.LeadParallel
			f.SharedParallel = s.SharedParallel
			f.OriginParallel, h.SendParallel = s.Origins, s.SendParallel
		},
	}
}

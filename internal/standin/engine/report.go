package engine

import (
	"slices"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// reportStep joins changes that follow closely into one report, which bounds the
// memory of a long lag under load.
const reportStep = 20 * time.Millisecond

// history keeps reports until a newer one has reached the lag.
type history struct {
	reports []connector.LoadReport
}

// add takes in a report.
func (h *history) add(r connector.LoadReport, lag time.Duration) {
	if n := len(h.reports); n > 1 && r.At.Sub(h.reports[n-1].At) < reportStep {
		r.At = h.reports[n-1].At
		h.reports[n-1] = r
	} else {
		h.reports = append(h.reports, r)
	}
	h.at(r.At, lag)
}

// at returns the newest report that is at least lag old, or the oldest one.
func (h *history) at(now time.Time, lag time.Duration) connector.LoadReport {
	i := 0
	for i+1 < len(h.reports) && now.Sub(h.reports[i+1].At) >= lag {
		i++
	}
	h.reports = slices.Delete(h.reports, 0, i)
	return h.reports[0]
}

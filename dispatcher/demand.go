package dispatcher

import (
	"math"
	"time"
)

// demandTime is the time over which demand is averaged. It is about the duration of a response:
// slots that are no longer needed are lent after it, and lent ones come back within it.
const demandTime = time.Second

// demand is the moving average of the requests that arrive: the slots that they take, and the
// engines that are busy with their prompts.
type demand struct {
	slots, prefill float64
	since, at      time.Time
}

// add adds a request that takes a slot for the time work, and an engine for the time prefill.
func (m *demand) add(work, prefill time.Duration, now time.Time) {
	if m.since.IsZero() {
		m.since = now
	}
	m.decay(now)
	m.slots += float64(work) / float64(demandTime)
	m.prefill += float64(prefill) / float64(demandTime)
}

func (m *demand) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		f := math.Exp(-float64(d) / float64(demandTime))
		m.slots, m.prefill, m.at = m.slots*f, m.prefill*f, now
	}
}

// get returns the averages. Shortly after the first request they are those of the time since
// then, but of half of demandTime at least, so that one request isn't taken for a high rate.
func (m *demand) get(now time.Time) (slots, prefill float64) {
	if m.since.IsZero() {
		return 0, 0
	}
	m.decay(now)
	covered := -math.Expm1(-float64(max(now.Sub(m.since), demandTime/2)) / float64(demandTime))
	return m.slots / covered, m.prefill / covered
}

package router

import (
	"sync/atomic"
	"time"
)

// loadFadeTime is the age of a report at which the load of other gateways counts as
// 0; until then it decreases linearly. A status arrives at least every 2 s, so the
// estimate lasts from one to the next. For a full endpoint with a large limit the
// estimate shows a free slot after a small part of this time, so it is soon tried
// again.
const loadFadeTime = 2 * time.Second

// recordFailure counts a failure and marks the endpoint as suspect from the given
// time, in nanoseconds.
func (e *entry) recordFailure(now int64) {
	n := min(e.failures.Add(1), 16)
	e.suspect.Store(now + int64(min(minSuspect<<(n-1), maxSuspect)))
}

// recordSuccess resets the consecutive failures and the suspicion.
func (e *entry) recordSuccess() {
	if e.failures.Load() != 0 {
		e.failures.Store(0)
		e.suspect.Store(0)
	}
}

// fieldBits is the width of the three counts packed in one word. Limits are at
// most 1e6 (see recorder.ClientAccount), which fits.
const (
	fieldBits = 21
	fieldMax  = 1<<fieldBits - 1
)

// Bounds of the time for which an endpoint is suspect, which doubles with each
// consecutive failure. The minimum is about the time in which a process restarts its
// listener; the maximum lets one request every few seconds probe whether the endpoint
// works again.
const (
	minSuspect = 100 * time.Millisecond
	maxSuspect = 5 * time.Second
)

// maxBoots is the number of boot ids that an entry remembers.
const maxBoots = 4

// boot is the highest sequence seen for one boot id.
type boot struct {
	id       string
	sequence uint64
}

// entry is one endpoint of a table. It survives copies of the view.
type entry struct {
	// status is the last status; the value is never changed in place.
	status atomic.Pointer[Endpoint]
	// seed is the hash of the instance from which the entry's rank for a prefix is
	// computed.
	seed uint64
	// ownInFlight is the number of requests of this gateway in flight at the endpoint.
	ownInFlight atomic.Int64
	// report packs the limit, inFlight and ownInFlight at the time of the last report
	// in one word, so that a reader sees consistent values.
	report atomic.Uint64
	// reported is the time of the last report in nanoseconds.
	reported atomic.Int64
	// avoid is the time in nanoseconds until which the endpoint is not picked.
	avoid atomic.Int64
	// suspect is the time in nanoseconds until which the endpoint is picked only
	// when no other can be, and failures the number of consecutive failures.
	suspect  atomic.Int64
	failures atomic.Int32

	// boots is guarded by the table's mutex.
	boots []boot
}

// observe stores a report of the agent.
func (e *entry) observe(limit, inFlight int, at int64) {
	ownInFlight := min(max(e.ownInFlight.Load(), 0), fieldMax)
	e.report.Store(field(limit)<<(2*fieldBits) | field(inFlight)<<fieldBits | uint64(ownInFlight))
	e.reported.Store(at)
}

func field(n int) uint64 { return uint64(min(max(n, 0), fieldMax)) }

// load returns the limit last reported and the estimate of requests in flight.
func (e *entry) load(now int64) (limit int64, inFlight float64) {
	w := e.report.Load()
	ownInFlight := e.ownInFlight.Load()
	others := int64(w>>fieldBits&fieldMax) - int64(w&fieldMax)
	inFlight = float64(ownInFlight)
	if age := now - e.reported.Load(); others > 0 && age < int64(loadFadeTime) {
		inFlight += float64(others) * (1 - float64(max(age, 0))/float64(loadFadeTime))
	}
	return int64(w >> (2 * fieldBits)), inFlight
}

// reserve counts one more request and reports true, unless the estimated load would
// then be above the limit.
func (e *entry) reserve(now int64) bool {
	e.ownInFlight.Add(1)
	if limit, inFlight := e.load(now); inFlight > float64(limit) {
		e.ownInFlight.Add(-1)
		return false
	}
	return true
}

// isNewer records the sequence of a status and reports whether it is above the
// highest one seen for its boot id. The caller must hold the table's mutex.
func (e *entry) isNewer(id string, sequence uint64) bool {
	for i := range e.boots {
		if e.boots[i].id == id {
			if sequence <= e.boots[i].sequence {
				return false
			}
			e.boots[i].sequence = sequence
			return true
		}
	}
	if len(e.boots) == maxBoots {
		e.boots = append(e.boots[:0], e.boots[1:]...)
	}
	e.boots = append(e.boots, boot{id, sequence})
	return true
}

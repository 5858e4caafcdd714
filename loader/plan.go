package loader

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

// minUse is the least time for which a superseded version must be of use to be loaded by an
// engine that serves nothing else, or to be completed from the origin. With less, most
// requests that wait for it would not begin before it is due.
const minUse = 500 * time.Millisecond

// plan decides whether the missing pieces of a superseded version are read from the origin
// before those of the newer one. The load is two versions that are named within seconds while
// the origin is away in between: without the older one no version may be served until the
// newer one has been sent whole. Apart from the missing pieces, all instances know the same.
type plan struct {
	now time.Time
	// olderUntil is until when versions older than the superseded one are used, and
	// supersededUntil until when the superseded one is.
	olderUntil, supersededUntil time.Time
	// missing and newerMissing are the bytes that this instance lacks of the superseded and of
	// the newer version.
	missing, newerMissing int64
	// origin and link are the rates in bytes per second of the origin's link and of an
	// instance's.
	origin, link float64
	// warm is the time that an engine takes to load staged pieces.
	warm time.Duration
}

// loadedAt estimates when engines serve a version of which the given bytes are missing.
func (p plan) loadedAt(missing int64) time.Time {
	return p.now.Add(originDelay + transferTime(missing, min(p.origin, p.link), distributionFactor) + closeNotice + p.warm)
}

// gain returns for how long engines serve the superseded version while no other one may be
// served, if its missing pieces are read first.
func (p plan) gain() time.Duration {
	from, until := p.loadedAt(p.missing), p.loadedAt(p.newerMissing)
	if from.Before(p.olderUntil) {
		from = p.olderUntil
	}
	if until.After(p.supersededUntil) {
		until = p.supersededUntil
	}
	return until.Sub(from)
}

// delay returns by how much the newer version comes later.
func (p plan) delay() time.Duration { return transferTime(p.missing, p.origin, 1) }

// completes reports whether the missing pieces of the superseded version are read first.
func (p plan) completes() bool {
	return p.missing > 0 && p.origin > 0 && p.link > 0 && p.gain() >= max(p.delay(), minUse)
}

// transferTime returns the time that bytes take at a rate in bytes per second, times a factor.
func transferTime(size int64, rate, factor float64) time.Duration {
	return time.Duration(float64(size) / rate * factor * float64(time.Second))
}

// usedUntil returns until when gateways use a version, and whether that is limited: they stop
// a while after a newer one was named. The zero time stands for an unknown date, as after a
// restart; gateways don't use the version then.
func usedUntil(named []observer.NamedVersion, version int64, use time.Duration) (until time.Time, limited bool) {
	for _, n := range named {
		switch {
		case n.Version <= version:
		case n.Since.IsZero():
			return time.Time{}, true
		default:
			return n.Since.Add(use), true
		}
	}
	return time.Time{}, false
}

// latestOrder returns the latest time at which an engine that serves nothing else is ordered
// to load a version that is used until the given time.
func latestOrder(until time.Time, warm time.Duration) time.Time {
	return until.Add(-warm - closeNotice - minUse)
}

package isolator

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultMaxEndings is the number of processes after whose end a suspect is held.
	DefaultMaxEndings = 3
	// soundEndings is the number of further processes for a suspect that was sound a moment ago:
	// it is in many requests, so it ran beside a faulty one more often than others did.
	soundEndings = 2
	// memory is how long endings are remembered that don't hold a suspect, and how long a suspect
	// counts as sound after a whole answer.
	memory = 30 * time.Second
	// maxSuspects is the number of suspects that are remembered.
	maxSuspects = 2048
	// newsTime is how long an ending is sent again and again, as datagrams may be lost.
	newsTime = 200 * time.Millisecond
	// reminderInterval is the interval at which that is sent again which holds a suspect and isn't
	// in the platform's store yet, for gateways that have started since.
	reminderInterval = time.Second
)

// Isolator counts the endings of processes under suspects. The zero value is ready to use; its
// exported fields are set before the first call. All methods may be called concurrently.
type Isolator struct {
	// MaxEndings is the number of processes after whose end a suspect is held; 0 means
	// DefaultMaxEndings.
	MaxEndings int
	// Hold is how long a suspect is held before its first trial; 0 means DefaultHold.
	Hold time.Duration
	// Held is called when a suspect begins to be held, and Released when it isn't any more, with the
	// number of requests that were refused. Changed is called when there is news for other
	// gateways. Each may be nil, and must not call the Isolator.
	Held     func(h Hold)
	Released func(h Hold, refused int)
	Changed  func()
	// Now returns the current time; nil means time.Now.
	Now func() time.Time

	// known is the number of suspects, which is read for each request.
	known atomic.Int32
	sound soundSet

	mu       sync.Mutex
	suspects map[Digest]*suspect
	// longPrompts holds the last endings under long prompts that this gateway saw, the newest last.
	longPrompts []*longPrompt
	// heldList holds the suspects that are held; nil if it has to be made anew.
	heldList []*suspect
	// reported holds the suspects that News may have to report: those with sentUntil in the future, and those
	// with reminders. It may hold others.
	reported map[*suspect]struct{}
	// forgetAt is no later than the time after which a suspect is forgotten; the zero value if there is
	// none.
	forgetAt time.Time
	// isStale reports whether a held suspect has changed since the last call of explain, explainAt is
	// when its result may change otherwise, the zero value for never, and soundTrims is
	// soundSet.trims at that time.
	isStale    bool
	explainAt  time.Time
	soundTrims int
}

func (i *Isolator) now() time.Time {
	if i.Now != nil {
		return i.Now()
	}
	return time.Now()
}

func (i *Isolator) notify() {
	if i.Changed != nil {
		i.Changed()
	}
}

// IsIdle reports whether nothing is known about any suspect.
func (i *Isolator) IsIdle() bool { return i.known.Load() == 0 }

// Add records that a process ended while it had a request with the suspect. An ending that is
// known already changes nothing, unless a request was served since.
func (i *Isolator) Add(e Ending) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.add(e, true, i.now())
}

// Learn does the same for an ending that another gateway saw.
func (i *Isolator) Learn(e Ending) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	i.add(e, false, now)
	i.addRemembered(e.Suspect, now)
}

func (i *Isolator) add(e Ending, own bool, now time.Time) {
	k := i.suspects[e.Digest]
	if k == nil || i.isForgotten(k, now) {
		k = i.keep(e.Suspect, now)
	}
	switch o := k.find(e.Process); {
	case o == nil:
		k.add(ending{process: e.Process, began: now.Add(-e.Began), ended: now.Add(-e.Ended), served: e.Served, own: own})
	case e.Served && !o.served:
		o.served = true
	default:
		return
	}
	k.last = now
	if own {
		k.sentUntil = now.Add(newsTime)
		defer i.notify()
	}
	i.decide(k, e, now)
	i.touch(k)
}

// touch records that a suspect has changed.
func (i *Isolator) touch(k *suspect) {
	if t := k.forgottenAfter(); i.forgetAt.IsZero() || t.Before(i.forgetAt) {
		i.forgetAt = t
	}
	i.isStale = i.isStale || k.held
	if i.suspects[k.Digest] == k && (!k.sentUntil.IsZero() || k.hasReminders()) {
		if i.reported == nil {
			i.reported = make(map[*suspect]struct{})
		}
		i.reported[k] = struct{}{}
	}
}

// decide holds or releases a suspect after an ending was added or served.
func (i *Isolator) decide(k *suspect, e Ending, now time.Time) {
	switch {
	case e.Served:
		if k.held && k.unserved() == 0 {
			i.release(k, i.after(k))
		}
	case k.held:
		if !now.Before(k.until) {
			i.hold(k, min(k.trials+1, maxTrials))
		}
		if t := now.Add(i.holdTime(k.trials) - e.Ended); t.After(k.until) && t.Sub(k.changed) <= finalHold {
			k.until = t
		}
		i.explain()
	case k.count(i.explanations(time.Time{}).of(k)) >= i.maxEndings(k, now):
		i.hold(k, 0)
		i.explain()
	}
}

// maxEndings returns the number of endings from which the suspect is held.
func (i *Isolator) maxEndings(k *suspect, now time.Time) int {
	n := i.MaxEndings
	if n <= 0 {
		n = DefaultMaxEndings
	}
	if i.sound.has(k.Digest, now) {
		n += soundEndings
	}
	return n
}

// explain releases the suspects whose endings are explained by others that are held. Only a gateway
// that decided the hold knows enough to: one that learned it doesn't know the endings since.
func (i *Isolator) explain() {
	settled := i.now().Add(-newsTime)
	i.isStale, i.explainAt, i.soundTrims = false, time.Time{}, i.sound.trimCount()
	var x *explanations
	for _, k := range slices.Clone(i.held()) {
		if !k.held || !k.decided || k.trials != 0 || k.unserved() == 0 {
			continue
		}
		if x == nil {
			x = i.explanations(settled)
			i.explainAt = x.changesAt
		}
		if k.count(x.of(k)) == 0 {
			i.release(k, i.after(k))
			k.sentUntil = i.now().Add(newsTime)
			i.touch(k)
			x = nil
		}
	}
}

// isExplainDue reports whether explain may have another result than at its last call.
func (i *Isolator) isExplainDue(now time.Time) bool {
	return i.isStale || !i.explainAt.IsZero() && !now.Before(i.explainAt) || i.soundTrims != i.sound.trimCount()
}

// held returns the suspects that are held.
func (i *Isolator) held() []*suspect {
	if i.heldList == nil {
		i.heldList = []*suspect{}
		for _, k := range i.suspects {
			if k.held {
				i.heldList = append(i.heldList, k)
			}
		}
	}
	return i.heldList
}

// hold begins a hold of the suspect by a decision of this gateway.
func (i *Isolator) hold(k *suspect, trials int) {
	begins := !k.held
	k.changed = i.after(k)
	k.held, k.trials, k.stored, k.decided = true, trials, false, true
	k.until = k.changed.Add(i.holdTime(trials))
	k.sentUntil = k.changed.Add(newsTime)
	i.listChanged(begins, k)
	i.touch(k)
	i.notify()
}

// listChanged records that a suspect is held, and tells of it if it wasn't before.
func (i *Isolator) listChanged(begins bool, k *suspect) {
	i.heldChanged()
	k.released = false
	if begins && i.Held != nil {
		i.Held(k.hold())
	}
}

// heldChanged records that the suspects that are held have changed.
func (i *Isolator) heldChanged() { i.heldList, i.isStale = nil, true }

// keep adds a suspect, and forgets others if there are too many.
func (i *Isolator) keep(s Suspect, now time.Time) *suspect {
	if i.suspects == nil {
		i.suspects = make(map[Digest]*suspect)
	}
	if len(i.suspects) >= maxSuspects {
		i.trim(now)
	}
	k := &suspect{Suspect: s}
	if o := i.suspects[s.Digest]; o != nil {
		i.drop(o)
	}
	i.suspects[s.Digest] = k
	i.known.Store(int32(len(i.suspects)))
	return k
}

// trim forgets an eighth of the suspects: those with the fewest endings, of which the last one is
// the oldest.
func (i *Isolator) trim(now time.Time) {
	i.dropForgotten(now)
	l := slices.SortedFunc(maps.Keys(i.suspects), func(a, b Digest) int {
		x, y := i.suspects[a], i.suspects[b]
		return cmp.Or(cmp.Compare(x.rank(), y.rank()), x.last.Compare(y.last))
	})
	for _, d := range l[:max(0, len(l)-maxSuspects*7/8)] {
		i.drop(i.suspects[d])
	}
}

// dropForgotten drops the suspects against which nothing is known that counts.
func (i *Isolator) dropForgotten(now time.Time) {
	i.forgetAt = time.Time{}
	for _, k := range i.suspects {
		if i.isForgotten(k, now) {
			i.drop(k)
		} else if t := k.forgottenAfter(); i.forgetAt.IsZero() || t.Before(i.forgetAt) {
			i.forgetAt = t
		}
	}
}

func (i *Isolator) drop(k *suspect) {
	delete(i.suspects, k.Digest)
	delete(i.reported, k)
	if k.held {
		i.heldChanged()
	}
}

// isForgotten reports whether what is known against a suspect is too old to count.
func (i *Isolator) isForgotten(k *suspect, now time.Time) bool { return now.After(k.forgottenAfter()) }

// Served records that a request with the suspects was served: its answer was whole, and began at a
// time. They were sound then.
func (i *Isolator) Served(began time.Time, all ...Suspect) {
	now := i.now()
	i.sound.add(all, now)
	if i.IsIdle() {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range all {
		if k := i.suspects[s.Digest]; k != nil {
			i.clear(k, began, now)
			i.touch(k)
		}
	}
}

// clear forgets the endings from before the time, and releases the suspect if none is left.
func (i *Isolator) clear(k *suspect, began, now time.Time) {
	cleared := k.serve(began)
	for n := range k.endings {
		// The gateways that saw the others may not learn that they were served.
		k.endings[n].own = k.endings[n].own || k.endings[n].served
	}
	if k.held && k.unserved() == 0 && (cleared || !k.changed.After(began)) {
		i.releaseOwn(k)
	}
	if cleared {
		k.last, k.sentUntil = now, now.Add(newsTime)
		i.notify()
	}
}

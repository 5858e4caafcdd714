package isolator

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

const (
	// DefaultHold is how long a suspect is held before its first trial. The time grows with each
	// trial that fails.
	DefaultHold = 30 * time.Second
	// holdGrowth is the factor by which a hold is longer than the one before.
	holdGrowth = 10
	// maxTrials is the number of trials. After the last one a suspect is held for finalHold.
	maxTrials = 3
	// finalHold is also the time for which a suspect is remembered whose trial is due.
	finalHold = 24 * time.Hour
)

// Hold is the decision to send no request with a suspect to an endpoint.
type Hold struct {
	Suspect
	// Changed is when the decision was made. Of two decisions on a suspect the later one holds.
	Changed time.Time `json:"changed"`
	// Until is when the next trial is due; the zero value if Released. It is at most a day after
	// Changed.
	Until time.Time `json:"until,omitzero"`
	// Trials is the number of trials so far, at most three.
	Trials int `json:"trials"`
	// Processes names at most 16 of the processes that ended.
	Processes []string `json:"processes,omitempty"`
	// Released reports whether the suspect isn't held any more.
	Released bool `json:"released,omitempty"`
}

// UnmarshalJSON decodes a hold. It returns an error of kind Invalid if a field is out of its
// range.
func (h *Hold) UnmarshalJSON(b []byte) error {
	const op = "decode hold"
	type plain Hold
	var v plain
	if err := json.Unmarshal(b, &v); err != nil {
		return &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	switch n := v.Until.Sub(v.Changed); {
	case v.Changed.IsZero(), v.Released != v.Until.IsZero(), !v.Released && (n < 0 || n > finalHold):
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("held from %s until %s", v.Changed, v.Until)}
	case v.Trials < 0 || v.Trials > maxTrials:
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("field trials: %d", v.Trials)}
	case len(v.Processes) > maxEndingsKept:
		return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("%d processes", len(v.Processes))}
	}
	for _, p := range v.Processes {
		if p == "" || len(p) > maxProcessBytes {
			return &Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("field processes: %d bytes", len(p))}
		}
	}
	if err := v.check(op); err != nil {
		return err
	}
	*h = Hold(v)
	return nil
}

// holdTime returns how long a suspect is held after a number of trials.
func (i *Isolator) holdTime(trials int) time.Duration {
	if trials >= maxTrials {
		return finalHold
	}
	t := i.Hold
	if t == 0 {
		t = DefaultHold
	}
	for range trials {
		t *= holdGrowth
	}
	return min(t, finalHold)
}

// Verdict says whether a request may be sent to an endpoint. The zero value allows it.
type Verdict struct {
	// HeldFor is how long the request must not be sent; 0 if it may.
	HeldFor time.Duration
	// By names the suspects for which the request must not be sent: the parts by their ids, the
	// content by its digest.
	By []string
	// Trial holds the suspects of which the request would be a trial. It may be sent once all of
	// them are claimed.
	Trial []Digest
}

// Check returns whether a request with the suspects may be sent to an endpoint.
func (i *Isolator) Check(all ...Suspect) Verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	var v Verdict
	now := i.now()
	for _, s := range all {
		k := i.suspects[s.Digest]
		switch {
		case k == nil || !k.held:
		case !now.Before(k.until), k.trials == 0 && i.hasAlternative(k, all):
			v.Trial = append(v.Trial, s.Digest)
		default:
			v.HeldFor = max(v.HeldFor, k.until.Sub(now))
			v.By = append(v.By, k.name())
		}
	}
	if v.HeldFor > 0 {
		v.Trial = nil
	}
	return v
}

// NoteRefused counts a request with the suspects that wasn't sent.
func (i *Isolator) NoteRefused(all ...Suspect) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, s := range all {
		if k := i.suspects[s.Digest]; k != nil && k.held {
			k.refused++
		}
	}
}

// HeldFor returns for how long no request with the suspect must be sent to an endpoint; 0 if one
// may.
func (i *Isolator) HeldFor(d Digest) time.Duration { return i.Check(Suspect{Digest: d}).HeldFor }

// hasAlternative reports whether another held suspect, which isn't among those of a request, has
// all the endings of k and may be at fault in its place.
func (i *Isolator) hasAlternative(k *suspect, all []Suspect) bool {
	for _, o := range i.held() {
		if o != k && o.covers(k) && !containsSuspect(all, o.Digest) {
			return true
		}
	}
	return false
}

func containsSuspect(all []Suspect, d Digest) bool {
	for _, s := range all {
		if s.Digest == d {
			return true
		}
	}
	return false
}

// NextTrial returns the hold that begins with a trial of the suspect; false if it isn't held. The
// trial may be made once all gateways can learn of that hold.
func (i *Isolator) NextTrial(d Digest) (Hold, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := i.suspects[d]
	if k == nil || !k.held {
		return Hold{}, false
	}
	h := k.hold()
	h.Changed = i.after(k)
	h.Trials = min(k.trials+1, maxTrials)
	h.Until = h.Changed.Add(i.holdTime(h.Trials))
	return h, true
}

// ReturnedTrial returns the hold after a trial that was claimed and not made, which is due again.
func (i *Isolator) ReturnedTrial(d Digest) (Hold, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := i.suspects[d]
	if k == nil || !k.held || k.trials == 0 {
		return Hold{}, false
	}
	h := k.hold()
	h.Changed = i.after(k)
	h.Until, h.Trials = h.Changed, h.Trials-1
	return h, true
}

// LearnHold applies the decision of another gateway, or of an operator, unless a later one on
// the suspect is known. stored reports whether it is in the platform's store.
func (i *Isolator) LearnHold(h Hold, stored bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	k := i.suspects[h.Digest]
	if k == nil || i.isForgotten(k, now) {
		if h.Released {
			return
		}
		k = i.keep(h.Suspect, now)
		i.touch(k)
	}
	isSame := k.held && !h.Released && h.Trials == k.trials
	if !h.Changed.After(k.changed) {
		k.stored = k.stored || stored && (isSame || h.Changed.Equal(k.changed))
		return
	}
	k.last = now
	defer i.touch(k)
	if h.Released {
		k.serve(h.Changed)
		i.release(k, h.Changed)
		k.stored = stored
		return
	}
	if !k.held && h.Trials == 0 && k.unserved() > 0 && i.sound.has(k.Digest, now) {
		// This gateway counts the endings too, and the one that holds the suspect may not know
		// that it was sound a moment ago.
		return
	}
	for _, p := range h.Processes {
		k.learnProcess(p, h.Changed)
	}
	begins := !k.held
	k.held, k.changed, k.until, k.trials, k.stored = true, h.Changed, h.Until, h.Trials, stored || isSame && k.stored
	i.listChanged(begins, k)
	i.explain()
}

// Forget applies the deletion of a hold from the platform's store. The hold of a suspect that
// wasn't there yet goes on.
func (i *Isolator) Forget(d Digest) {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := i.suspects[d]
	if k == nil || !k.stored && k.held {
		return
	}
	if k.held {
		k.serve(i.now())
		i.release(k, i.after(k))
	}
	k.stored = true
}

// Release ends the hold of a suspect, as an operator demands, and reports whether it was held.
func (i *Isolator) Release(d Digest) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	k := i.suspects[d]
	if k == nil || !k.held {
		return false
	}
	i.releaseOwn(k)
	return true
}

// reconsider holds the suspects whose endings were explained by one that isn't held any more.
func (i *Isolator) reconsider() {
	now := i.now()
	var x *explanations
	for _, k := range i.suspects {
		if k.held || i.isForgotten(k, now) {
			continue
		}
		if x == nil {
			x = i.explanations(time.Time{})
		}
		if k.count(x.of(k)) >= i.maxEndings(k, now) {
			i.hold(k, 0)
			x = nil
		}
	}
}

// releaseOwn releases a suspect by a decision of this gateway, which others have to learn.
func (i *Isolator) releaseOwn(k *suspect) {
	now := i.now()
	k.serve(now)
	i.release(k, i.after(k))
	k.last, k.sentUntil = now, now.Add(newsTime)
	i.touch(k)
	i.notify()
}

func (i *Isolator) release(k *suspect, at time.Time) {
	wasHeld := k.held
	k.held, k.changed, k.until, k.trials, k.stored, k.decided = false, at, time.Time{}, 0, false, false
	if wasHeld {
		k.released = true
		i.heldChanged()
		i.touch(k)
		i.reconsider()
		if i.Released != nil {
			i.Released(k.hold(), k.refused)
		}
		k.refused = 0
	}
}

// after returns the present time, but later than the last decision on the suspect: the clocks of
// gateways differ.
func (i *Isolator) after(k *suspect) time.Time {
	// The wall clock is what other gateways can compare.
	if now := i.now().Round(0); now.After(k.changed) {
		return now
	}
	return k.changed.Add(time.Millisecond)
}

// Holds returns what is held.
func (i *Isolator) Holds() []Hold {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := []Hold{}
	for _, k := range i.held() {
		l = append(l, k.hold())
	}
	return l
}

// Unstored returns the decisions that are older than the age and not known to be in the platform's
// store: holds, and releases of holds that may be there.
func (i *Isolator) Unstored(age time.Duration) []Hold {
	i.mu.Lock()
	defer i.mu.Unlock()
	var l []Hold
	now := i.now()
	for _, k := range i.suspects {
		if (k.held || k.released) && !k.stored && now.Sub(k.changed) >= age {
			l = append(l, k.hold())
		}
	}
	return l
}

// Stored records that the decision is in the platform's store.
func (i *Isolator) Stored(h Hold) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if k := i.suspects[h.Digest]; k != nil && k.changed.Equal(h.Changed) {
		k.stored = true
	}
}

package isolator

import (
	"slices"
	"time"
)

const (
	// maxEndingsKept is the number of processes that are remembered for one suspect.
	maxEndingsKept = 16
	// momentTime separates the endings of processes that end one after the other from those of
	// processes that end together for a reason of their own.
	momentTime = 20 * time.Millisecond
)

// suspect is what is known about the requests with one content or part.
type suspect struct {
	Suspect
	// endings holds the processes that ended, ordered by the time of their end. No process is in
	// it twice, and it has at most maxEndingsKept of them; the oldest are forgotten.
	endings []ending
	// last is when the last news was learned, and sentUntil the time until which the own ones
	// are news.
	last, sentUntil time.Time
	// reminded is when the endings were last sent as a reminder.
	reminded time.Time

	// held reports whether the suspect is held, until its next trial after a number of trials.
	held   bool
	until  time.Time
	trials int
	// changed is when the last decision on it was made, by which gateways agree on the last one.
	changed time.Time
	// released reports whether the last decision was a release.
	released bool
	// stored reports whether the last decision is in the platform's store.
	stored bool
	// decided reports whether this gateway decided to hold it, so that it reminds others.
	decided bool
	// refused counts the requests that were refused since it is held.
	refused int
}

// ending is a process that ended while it had a request with the suspect.
type ending struct {
	process      string
	began, ended time.Time
	served       bool
	// own reports whether this gateway saw it. Others send their own ones to all.
	own bool
}

// count returns the number of endings since which no request with the suspect was served, and
// that isExplained doesn't exclude. Processes that ended at the same moment count once.
func (k *suspect) count(isExplained func(process string) bool) int {
	n := 0
	var last time.Time
	for _, e := range k.endings {
		if e.served || isExplained(e.process) {
			continue
		}
		if !e.began.Before(last) || e.ended.Sub(last) >= momentTime {
			n++
			last = e.ended
		}
	}
	return n
}

// unserved returns the number of processes since whose end no request was served.
func (k *suspect) unserved() int {
	n := 0
	for _, e := range k.endings {
		if !e.served {
			n++
		}
	}
	return n
}

// has reports whether the process ended under the suspect, and no request was served since.
func (k *suspect) has(process string) bool {
	return slices.ContainsFunc(k.endings, func(e ending) bool { return e.process == process && !e.served })
}

// covers reports whether all processes that ended under o ended under k.
func (k *suspect) covers(o *suspect) bool { return o.unserved() > 0 && k.coversUntil(o, time.Time{}) }

// coversUntil reports whether all processes that ended under o by the given time, or at any time if
// none is given, ended under k.
func (k *suspect) coversUntil(o *suspect, until time.Time) bool {
	for _, e := range o.endings {
		if !e.served && (until.IsZero() || !e.ended.After(until)) && !k.has(e.process) {
			return false
		}
	}
	return true
}

// add adds an ending in its order.
func (k *suspect) add(e ending) {
	n, _ := slices.BinarySearchFunc(k.endings, e, func(a, b ending) int { return a.ended.Compare(b.ended) })
	k.endings = slices.Insert(k.endings, n, e)
	if len(k.endings) > maxEndingsKept {
		k.endings = slices.Delete(k.endings, 0, 1)
	}
}

// find returns the ending of a process; nil if there is none.
func (k *suspect) find(process string) *ending {
	n := slices.IndexFunc(k.endings, func(e ending) bool { return e.process == process })
	if n < 0 {
		return nil
	}
	return &k.endings[n]
}

// learnProcess adds the ending of a process of which only a hold tells.
func (k *suspect) learnProcess(process string, at time.Time) {
	if k.find(process) == nil {
		k.add(ending{process: process, began: at, ended: at})
	}
}

// serve records that the suspect was sound at a time, and reports whether this clears an ending.
func (k *suspect) serve(at time.Time) bool {
	cleared := false
	for n := range k.endings {
		e := &k.endings[n]
		if !e.served && !e.ended.After(at) {
			e.served = true
			cleared = true
		}
	}
	return cleared
}

// name returns the id of a part, and the digest of a content.
func (k *suspect) name() string {
	if k.Part != "" {
		return k.Part
	}
	return k.Digest.String()
}

// hold returns the decision on the suspect.
func (k *suspect) hold() Hold {
	h := Hold{Suspect: k.Suspect, Changed: k.changed, Until: k.until, Trials: k.trials, Released: !k.held}
	for _, e := range k.endings {
		if !e.served {
			h.Processes = append(h.Processes, e.process)
		}
	}
	return h
}

// forgottenAfter returns the time after which what is known against the suspect is too old to count.
func (k *suspect) forgottenAfter() time.Time {
	if k.held {
		return k.until.Add(finalHold)
	}
	return k.last.Add(memory)
}

// hasReminders reports whether other gateways are reminded of the suspect.
func (k *suspect) hasReminders() bool { return k.decided && !k.stored }

// rank orders suspects by how much is known against them: those that were held come last.
func (k *suspect) rank() int {
	if k.held {
		return maxEndingsKept + 1
	}
	return k.unserved()
}

package isolator

import (
	"slices"
	"time"
)

// explanations tells which endings are explained by suspects that are held. It is made in time
// in proportion to their number, and is valid until one of them changes.
type explanations struct {
	isolator *Isolator
	now      time.Time
	// ids numbers the processes that ended under a held suspect, and processes holds what is known of
	// each.
	ids       map[string]int
	processes []explainer
	// sound holds which of the suspects were sound a moment ago.
	sound map[*suspect]bool
	// changesAt is when the result may change although no suspect does; the zero value for never.
	changesAt time.Time
}

// explainer is what the held suspects with the ending of one process have in common.
type explainer struct {
	// beside holds other processes that ended under one of them, at most maxBeside.
	beside []int
	// isUnsound reports whether one of them wasn't sound a moment ago.
	isUnsound bool
}

// maxBeside is the number of processes from which one at least didn't end under a given suspect.
const maxBeside = maxEndingsKept + 1

// explanations returns what the suspects explain that are held. An ending after the given time, if one
// is given, isn't lacked by another suspect: the news that it had it as well may be on its way.
func (i *Isolator) explanations(until time.Time) *explanations {
	x := &explanations{isolator: i, now: i.now(), ids: make(map[string]int), sound: make(map[*suspect]bool)}
	var all, settled []int
	for _, o := range i.held() {
		all, settled = all[:0], settled[:0]
		for _, e := range o.endings {
			if e.served {
				continue
			}
			id, known := x.ids[e.process]
			if !known {
				id = len(x.processes)
				x.ids[e.process] = id
				x.processes = append(x.processes, explainer{})
			}
			all = append(all, id)
			if until.IsZero() || !e.ended.After(until) {
				settled = append(settled, id)
			} else {
				x.noteChange(e.ended.Add(newsTime))
			}
		}
		soundUntil := i.sound.soundUntil(o.Digest, x.now)
		x.sound[o] = !soundUntil.IsZero()
		x.noteChange(soundUntil)
		for _, id := range all {
			x.processes[id].add(settled, !x.sound[o])
		}
	}
	return x
}

func (x *explanations) noteChange(t time.Time) {
	if !t.IsZero() && (x.changesAt.IsZero() || t.Before(x.changesAt)) {
		x.changesAt = t
	}
}

// add adds a suspect with the endings.
func (p *explainer) add(endings []int, isUnsound bool) {
	p.isUnsound = p.isUnsound || isUnsound
	for _, id := range endings {
		if len(p.beside) < maxBeside && !slices.Contains(p.beside, id) {
			p.beside = append(p.beside, id)
		}
	}
}

// of returns whether the end of a process under k is explained by a suspect that is held: one that
// has an ending which k lacks, so that k alone can't be at fault, or one beside which k was sound a
// moment ago. k itself lacks none of its endings, and explains none.
func (x *explanations) of(k *suspect) func(process string) bool {
	isSound, known := x.sound[k]
	if !known {
		isSound = x.isolator.sound.has(k.Digest, x.now)
	}
	var own []int
	for _, e := range k.endings {
		if id, known := x.ids[e.process]; known && !e.served {
			own = append(own, id)
		}
	}
	return func(process string) bool {
		id, known := x.ids[process]
		if !known {
			return false
		}
		p := &x.processes[id]
		return isSound && p.isUnsound || slices.ContainsFunc(p.beside, func(o int) bool { return !slices.Contains(own, o) })
	}
}

package isolator

import (
	"bytes"
	"cmp"
	"slices"
	"time"
)

const (
	// maxCountedParts is the number of parts of a request for which an ending counts, and which
	// other gateways are sent.
	maxCountedParts = 32
	// maxLongPrompts is the number of endings under long prompts that are remembered, with up to
	// some thousand digests each.
	maxLongPrompts = 16
)

// longPrompt is the ending of a process under a request with more than maxCountedParts parts. The
// ending counts for those parts only that further endings, or whole answers, tell from the others.
type longPrompt struct {
	process      string
	began, ended time.Time
	// parts holds the parts that weren't known to be sound, sorted.
	parts []Digest
}

func (p *longPrompt) has(d Digest) bool {
	_, ok := slices.BinarySearchFunc(p.parts, d, compareDigests)
	return ok
}

func compareDigests(a, b Digest) int { return bytes.Compare(a[:], b[:]) }

// AddRequest records that a process ended while it had a request with the suspects, whatever the
// suspect of the ending, and returns those for which the ending counts: the content and the parts, or of
// a long prompt those that may be at fault. While these are too many it counts for none of them, as a sound
// part that is held in place of the faulty one does more harm than one more ending.
func (i *Isolator) AddRequest(e Ending, all ...Suspect) []Suspect {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	counted := all
	isPart := func(s Suspect) bool { return s.Part != "" }
	if first := slices.IndexFunc(all, isPart); first >= 0 && len(all)-first > maxCountedParts {
		p := &longPrompt{process: e.Process, began: now.Add(-e.Began), ended: now.Add(-e.Ended)}
		counted = append(slices.Clone(all[:first]), i.tellApart(p, all[first:], now)...)
		if len(p.parts) > 0 {
			i.remember(p, now)
		}
	}
	for _, s := range counted {
		e.Suspect = s
		i.add(e, true, now)
		i.addRemembered(s, now)
	}
	return counted
}

// tellApart returns the parts of a long prompt that may be at fault, at most maxCountedParts. A part that
// was answered whole a moment ago isn't among them. Of too many others there are those that are
// suspects already, and those that another long prompt had as well, from the end of the prompt: its
// first parts are shared by the most requests.
func (i *Isolator) tellApart(p *longPrompt, parts []Suspect, now time.Time) []Suspect {
	l := i.sound.without(parts, now)
	p.parts = make([]Digest, 0, len(l))
	for _, s := range l {
		p.parts = append(p.parts, s.Digest)
	}
	slices.SortFunc(p.parts, compareDigests)
	if len(l) <= maxCountedParts {
		return l
	}
	common := i.fewestCommon(p, l, now)
	return i.suspectsFirst(l, common[max(0, len(common)-maxCountedParts):], now)
}

// suspectsFirst returns the parts that are suspects, the ones with the most endings first, and then
// the given other ones, at most maxCountedParts in all.
func (i *Isolator) suspectsFirst(parts, others []Suspect, now time.Time) []Suspect {
	var l []Suspect
	for _, s := range parts {
		if k := i.suspects[s.Digest]; k != nil && !i.isForgotten(k, now) && k.unserved() > 0 {
			l = append(l, s)
		}
	}
	slices.SortStableFunc(l, func(a, b Suspect) int {
		return cmp.Compare(i.suspects[b.Digest].unserved(), i.suspects[a.Digest].unserved())
	})
	for _, s := range others {
		if !containsSuspect(l, s.Digest) {
			l = append(l, s)
		}
	}
	return l[:min(len(l), maxCountedParts)]
}

// fewestCommon returns the parts that the prompt has in common with the remembered one with which it shares the
// fewest, but at least one.
func (i *Isolator) fewestCommon(p *longPrompt, parts []Suspect, now time.Time) []Suspect {
	var fewest []Suspect
	for _, o := range i.longPrompts {
		if o.process == p.process || now.Sub(o.ended) > memory {
			continue
		}
		var common []Suspect
		for _, s := range parts {
			if o.has(s.Digest) {
				common = append(common, s)
			}
		}
		if n := len(common); n > 0 && (fewest == nil || n < len(fewest)) {
			fewest = common
		}
	}
	return fewest
}

// remember adds a prompt to those that are remembered.
func (i *Isolator) remember(p *longPrompt, now time.Time) {
	i.longPrompts = slices.DeleteFunc(i.longPrompts, func(o *longPrompt) bool { return now.Sub(o.ended) > memory })
	if n := len(i.longPrompts); n >= maxLongPrompts {
		i.longPrompts = slices.Delete(i.longPrompts, 0, n+1-maxLongPrompts)
	}
	i.longPrompts = append(i.longPrompts, p)
}

// addRemembered counts the endings under remembered prompts for a suspect that they have, unless it
// was answered whole since.
func (i *Isolator) addRemembered(s Suspect, now time.Time) {
	if len(i.longPrompts) == 0 || i.sound.has(s.Digest, now) {
		return
	}
	for _, p := range i.longPrompts {
		if p.has(s.Digest) && now.Sub(p.ended) <= memory {
			i.add(Ending{Suspect: s, Process: p.process, Began: now.Sub(p.began), Ended: now.Sub(p.ended)}, true, now)
		}
	}
}

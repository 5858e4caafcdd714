package isolator

import (
	"slices"
	"time"
)

// Unexplained returns the names of suspects for which explanations differs from a comparison of all pairs of
// suspects, by endings of any age and by those that are older than newsTime.
func (i *Isolator) Unexplained() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var l []string
	for _, until := range []time.Time{{}, i.now().Add(-newsTime)} {
		x := i.explanations(until)
		for _, k := range i.suspects {
			got, want := x.of(k), i.pairwise(k, until)
			if slices.ContainsFunc(k.endings, func(e ending) bool { return got(e.process) != want(e.process) }) {
				l = append(l, k.name())
			}
		}
	}
	return l
}

// pairwise returns whether the end of a process under k is explained by another suspect that is held.
func (i *Isolator) pairwise(k *suspect, until time.Time) func(process string) bool {
	now := i.now()
	wasSound := i.sound.has(k.Digest, now)
	return func(process string) bool {
		return slices.ContainsFunc(i.held(), func(o *suspect) bool {
			return o != k && o.has(process) && (!k.coversUntil(o, until) || wasSound && !i.sound.has(o.Digest, now))
		})
	}
}

// Missed returns the names of the suspects that News, which was just called, left as they were although it is to
// release, forget or report them: it looks at those only that it expects to have changed.
func (i *Isolator) Missed() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	var l []string
	for _, k := range i.suspects {
		isExplained := k.held && k.decided && k.trials == 0 && k.unserved() > 0 && k.count(i.pairwise(k, now.Add(-newsTime))) == 0
		_, isReported := i.reported[k]
		hasNews := now.Before(k.sentUntil) || k.decided && !k.stored
		if isExplained && !i.isStale || i.isForgotten(k, now) || hasNews && !isReported {
			l = append(l, k.name())
		}
	}
	return l
}

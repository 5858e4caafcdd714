package isolator

import (
	"cmp"
	"slices"
	"time"
)

// maxNews is the number of messages of one call of News. What is left out is what tells the least.
const maxNews = 4

// News returns messages for other gateways: what this process saw and decided in the last moment,
// and at an interval what it saw of the suspects that are held. Suspects without news cost nothing, and
// those with news at most in proportion to the number of suspects, unless it releases some of them.
func (i *Isolator) News() []Message {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.now()
	if i.isExplainDue(now) {
		i.explain()
	}
	if now.After(i.forgetAt) && !i.forgetAt.IsZero() {
		i.dropForgotten(now)
	}
	var l []*suspect
	for k := range i.reported {
		switch {
		case now.Before(k.sentUntil):
			l = append(l, k)
		case !k.hasReminders():
			delete(i.reported, k)
		case now.Sub(k.reminded) >= reminderInterval:
			k.reminded = now
			l = append(l, k)
		}
	}
	if len(i.reported) == 0 {
		// A map that was large takes long to iterate over.
		i.reported = nil
	}
	i.known.Store(int32(len(i.suspects)))
	slices.SortFunc(l, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.rank(), a.rank()), b.last.Compare(a.last))
	})
	return messages(l, now)
}

// messages returns at most maxNews messages about the suspects.
func messages(l []*suspect, now time.Time) []Message {
	var all []Message
	var endings []Ending
	for _, k := range l {
		if k.held || k.released {
			all = append(all, Message{Endings: []Ending{}, Holds: []Hold{k.hold()}, IsReminder: !now.Before(k.sentUntil)})
		}
		endings = append(endings, k.ownEndings(now)...)
	}
	for m := range slices.Chunk(endings, maxMessageEndings) {
		all = append(all, Message{Endings: m})
	}
	return all[:min(len(all), maxNews)]
}

// ownEndings returns the endings that this gateway saw.
func (k *suspect) ownEndings(now time.Time) []Ending {
	var l []Ending
	for _, e := range k.endings {
		began, ended := now.Sub(e.began), now.Sub(e.ended)
		if e.own && began <= maxAge {
			l = append(l, Ending{Suspect: k.Suspect, Process: e.process, Began: began, Ended: ended, Served: e.served})
		}
	}
	return l
}

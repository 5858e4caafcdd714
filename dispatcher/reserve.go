package dispatcher

import (
	"math"
	"slices"
	"sort"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Requests to one service may differ in rank. Less urgent ones would take every slot that is
// free, and urgent ones wait until a response ends, at an engine that this gateway uses, and
// where no other gateway takes the slot first. Slots are therefore kept free for them, as many
// as their recent arrivals indicate.

const (
	// reclaimTime is the time within which slots that become free are seen by all gateways that
	// share an engine: the interval of its reports.
	reclaimTime = 200 * time.Millisecond
	// maxExtraShare bounds the number of urgent requests that may wait at an engine, as a part of
	// its slots. An engine refuses requests when its queue is full, and the size of that isn't known.
	maxExtraShare = 0.25
	// withheldEnd is the time without a slot that was kept from a request after which that counts
	// as ended.
	withheldEnd = 2 * time.Second
)

// rankLoad is what this gateway knows of the requests of one rank.
type rankLoad struct {
	demand demand
	// inFlight is the number of slots that they use.
	inFlight int
	// work is how long the last one was expected to use its slot.
	work time.Duration
	// takenAt is when one last got a slot.
	takenAt time.Time
	// assigned holds the times within rateWindow at which they got slots.
	assigned []time.Time
}

// reserve decides which requests have to leave slots to more urgent ones. Ranks are those of
// resolver.Match; the lowest is the most urgent.
type reserve struct {
	// share is the part of the slots that less urgent requests always get.
	share float64
	// ranks holds the ranks that requests may have, and loads what is known of each rank.
	ranks []int
	loads map[int]*rankLoad
	// slots and engines are the numbers of slots and engines that this gateway prefers and may
	// use, and sharers that of the gateways that share them.
	slots, engines, sharers int
	// withheldAt is when a slot was last kept from a request that could have used it, and
	// isWithholding whether Withheld has been called for that.
	withheldAt    time.Time
	isWithholding bool
}

// isActive reports whether requests differ in rank.
func (v *reserve) isActive() bool { return len(v.ranks) > 1 }

// isMostUrgent reports whether nothing is kept from requests of the rank.
func (v *reserve) isMostUrgent(rank int) bool { return !v.isActive() || rank <= v.ranks[0] }

func (v *reserve) load(rank int) *rankLoad {
	l := v.loads[rank]
	if l == nil {
		if v.loads == nil {
			v.loads = make(map[int]*rankLoad)
		}
		l = &rankLoad{}
		v.loads[rank] = l
	}
	return l
}

// setRanks sets the ranks that requests may have, and forgets those that none has any more.
func (v *reserve) setRanks(ranks []int) {
	if slices.Equal(v.ranks, ranks) {
		return
	}
	v.ranks = ranks
	for k, l := range v.loads {
		if l.inFlight == 0 && !slices.Contains(ranks, k) {
			delete(v.loads, k)
		}
	}
}

// arrive records a request that needs a slot for the time work.
func (v *reserve) arrive(rank int, work, prefill time.Duration, now time.Time) {
	l := v.load(rank)
	l.work = work
	l.demand.add(work, prefill, now)
}

// take records that a request got a slot.
func (v *reserve) take(rank int, now time.Time) {
	l := v.load(rank)
	l.inFlight++
	l.takenAt = now
	l.assigned = append(trim(l.assigned, now), now)
}

// release records that a request returned its slot. A rank that requests no longer may have is
// forgotten with its last one.
func (v *reserve) release(rank int) {
	l := v.load(rank)
	l.inFlight--
	if l.inFlight == 0 && v.isActive() && !slices.Contains(v.ranks, rank) {
		delete(v.loads, rank)
	}
}

// kept returns the number of slots that have to stay free for more urgent requests, at all engines
// that this gateway prefers: what its own ones need beyond the slots that they use, and the spread
// of what those of all sharers need until slots that became free are seen. Others are assumed to
// have as much demand as this gateway, and to have the slots for its mean, which only they know.
// Arrivals and ends of responses are independent, so that the variance of their difference is their
// sum. The spread takes the places of the engines' queues first that only urgent requests may use.
func (v *reserve) kept(rank int, now time.Time) float64 {
	if v.isMostUrgent(rank) {
		return 0
	}
	var short, spread float64
	for k, l := range v.loads {
		if k >= rank {
			continue
		}
		need, _ := l.demand.get(now)
		short += max(0, need-math.Sqrt(need)-float64(l.inFlight))
		if l.work > 0 {
			spread += math.Sqrt(2 * need * float64(max(1, v.sharers)*int(reclaimTime)) / float64(l.work))
		}
	}
	places := float64(v.extra(v.ranks[0]) - v.extra(rank))
	return short + max(0, spread-places*float64(v.engines))
}

// extra returns the number of requests of the rank that may be sent to an engine beyond its slots:
// at most as many as become free within reclaimTime, so that they get slots about as soon as
// at an engine that has a free one. The engine admits them before less urgent ones; those
// of the lowest rank would wait there behind all others.
func (v *reserve) extra(rank int) int {
	if !v.isActive() || v.engines == 0 {
		return 0
	}
	var work time.Duration
	for _, k := range v.ranks {
		if l := v.loads[k]; l != nil {
			work = max(work, l.work)
		}
	}
	slots := float64(v.slots) / float64(v.engines)
	most := min(maxExtraShare*slots, slots*float64(reclaimTime)/float64(max(work, reclaimTime)))
	i, _ := slices.BinarySearch(v.ranks, rank)
	last := len(v.ranks) - 1
	return int(math.Round(most * float64(last-min(i, last)) / float64(last)))
}

// mayTake reports whether a request may use one of the free slots, and of the places beyond them
// that its rank may use, if it isn't owed one.
func (v *reserve) mayTake(rank, free int, now time.Time) bool {
	return v.isMostUrgent(rank) || float64(free) >= v.kept(rank, now)+1
}

// isOwed reports whether a less urgent request gets a slot regardless of more urgent ones: none
// of its rank or a lower one has got a slot for as long as one slot of their share serves a
// request. A limit to the number of their slots would be one at least for each gateway, and
// when most engines are empty that is most of the others.
func (v *reserve) isOwed(rank int, now time.Time) bool {
	part := v.sharedSlots()
	if v.isMostUrgent(rank) || part <= 0 {
		return false
	}
	var last time.Time
	for k, l := range v.loads {
		if k >= rank && l.takenAt.After(last) {
			last = l.takenAt
		}
	}
	return float64(now.Sub(last))*part >= float64(v.load(rank).work)
}

// sharedSlots returns the number of slots of this gateway that less urgent requests always get.
func (v *reserve) sharedSlots() float64 {
	return v.share * float64(v.slots) / float64(max(1, v.sharers))
}

// prefillShare returns the part of an engine's reading time that prompts of the rank may use: what
// more urgent ones leave, and at least their share.
func (v *reserve) prefillShare(rank int, now time.Time) float64 {
	if v.isMostUrgent(rank) {
		return 1
	}
	busy := 0.0
	for k, l := range v.loads {
		if k < rank {
			_, prefill := l.demand.get(now)
			busy += prefill
		}
	}
	return max(v.share, 1-busy*float64(max(1, v.sharers))/float64(max(1, v.engines)))
}

// anyRequest is a request without constraints.
var anyRequest = Request{Match: resolver.Match{Route: &resolver.Route{}}}

// updateReserve sets the ranks that requests to the service may have, and the slots of the engines
// that this gateway prefers.
func (d *Dispatcher) updateReserve(p *pool, t *resolver.Table, now time.Time) {
	v := &p.reserve
	var ranks []int
	if p.model != "" {
		ranks = t.Ranks(p.service)
	}
	v.setRanks(ranks)
	if v.isWithholding && now.Sub(v.withheldAt) > withheldEnd {
		v.isWithholding = false
		if d.Withheld != nil {
			d.Withheld(p.service, 0, false)
		}
	}
	v.share, v.slots, v.engines, v.sharers = d.LowestShare, 0, 0, min(d.gateways, maxSharers)
	if !v.isActive() {
		return
	}
	for _, n := range p.nodes {
		if p.tier(n, now) == preferredTier && d.isUsable(p, n, anyRequest, now) {
			v.slots += n.limit()
			v.engines++
		}
	}
}

// owed returns the queued request that gets the next slot because of the share of less urgent
// ones: of those that are owed one, that with the earliest latest start. It returns nil if
// there is none.
func (p *pool) owed(now time.Time) *waiter {
	v := &p.reserve
	if len(p.queue) == 0 || !v.isActive() {
		return nil
	}
	var first *waiter
	for _, k := range v.ranks[1:] {
		i := firstOf(p.queue, k)
		if i < len(p.queue) && p.queue[i].rank == k && v.isOwed(k, now) && (first == nil || p.queue[i].latest.Before(first.latest)) {
			first = p.queue[i]
		}
	}
	return first
}

// firstOf returns the place of the first request of the rank in a queue, or where it would be.
func firstOf(queue []*waiter, rank int) int {
	return sort.Search(len(queue), func(i int) bool { return queue[i].rank >= rank })
}

// noteArrival records a request that needs a slot.
func (p *pool) noteArrival(r Request, now time.Time) {
	if p.reserve.isActive() {
		_, end := p.workOf(r, 0)
		p.reserve.arrive(r.Match.Rank(), end, p.prefillTime(r), now)
	}
}

// rateOf returns the rate at which requests of the rank and less urgent ones get slots; 0 if it
// isn't known. The rate of all says nothing about them, as more urgent ones precede them also
// when they arrive later. A standard deviation is added, since small counts tell little. The rate is
// at least that of their share: a request that is refused for a low count never gets its share.
func (p *pool) rateOf(r Request, now time.Time) float64 {
	rate := p.rate(now)
	if rate == 0 || r.Resumed || p.reserve.isMostUrgent(r.Match.Rank()) {
		return rate
	}
	from := p.rateStart(now)
	v := &p.reserve
	n := 0.0
	for k, l := range v.loads {
		if k >= r.Match.Rank() {
			n += float64(countAfter(l.assigned, from))
		}
	}
	own := (n + math.Sqrt(n+1)) / now.Sub(from).Seconds()
	if l := v.loads[r.Match.Rank()]; l != nil && l.work > 0 {
		own = max(own, v.sharedSlots()/l.work.Seconds())
	}
	return min(rate, own)
}

// aheadOf returns how many of the first k requests of a queue get their slots before the request
// at the rate of rateOf.
func (p *pool) aheadOf(queue []*waiter, r Request, k int) int {
	if r.Resumed || p.reserve.isMostUrgent(r.Match.Rank()) {
		return k
	}
	return k - min(k, firstOf(queue, r.rank()))
}

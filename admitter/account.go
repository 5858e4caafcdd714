package admitter

import (
	"math"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// account is the state of one client account at this gateway.
type account struct {
	name recorder.Name
	// limits is the configuration passed with the latest request.
	limits *recorder.ClientAccount

	// tokens is the content of the token bucket at refilledAt, in requests.
	tokens     float64
	refilledAt time.Time

	inFlight int
	// active reports whether the account has requests in flight or in the queue.
	active bool
	// queue holds the waiting requests in the order of arrival.
	queue []*waiter
	// start is the virtual start time of the request at the head of the queue.
	start float64
	// finish is the virtual finish time of the last admitted request.
	finish float64
	// hold is the mean time for which the account's requests hold capacity.
	hold ewma
}

// ewma is an exponentially weighted moving average in seconds; 0 before the
// first sample.
type ewma float64

// ewmaWeight is the weight of the newest sample. Twenty samples make up most of
// the average, which follows a change of load within a second at 20 requests
// per second.
const ewmaWeight = 0.1

func (m *ewma) add(d time.Duration) {
	if *m == 0 {
		*m = ewma(d.Seconds())
		return
	}
	*m += ewmaWeight * (ewma(d.Seconds()) - *m)
}

func (m ewma) duration() time.Duration { return seconds(float64(m)) }

// seconds converts seconds to a duration and saturates instead of overflowing.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt64/4e9) * float64(time.Second))
}

func (a *account) weight() float64 { return float64(max(a.limits.Weight, 1)) }

// concurrency returns the number of requests that may be in flight at this
// gateway, given its share of the account's limits.
func (a *account) concurrency(share float64) int {
	return max(int(float64(a.limits.Concurrency)*share), 1)
}

// refill adds the tokens earned since the last call. The bucket always has room
// for at least one.
func (a *account) refill(now time.Time, share float64) {
	most := max(float64(a.limits.Burst)*share, 1)
	if a.refilledAt.IsZero() {
		a.tokens = most
	} else if d := now.Sub(a.refilledAt); d > 0 {
		a.tokens = min(a.tokens+d.Seconds()*a.limits.RequestsPerSecond*share, most)
	}
	a.refilledAt = now
}

// nextToken returns the time until the bucket has a token.
func (a *account) nextToken(share float64) time.Duration {
	return seconds((1 - a.tokens) / (a.limits.RequestsPerSecond * share))
}

// remove removes the waiter at index i from the queue.
func (a *account) remove(i int) *waiter {
	w := a.queue[i]
	copy(a.queue[i:], a.queue[i+1:])
	a.queue[len(a.queue)-1] = nil
	a.queue = a.queue[:len(a.queue)-1]
	w.queued = false
	return w
}

// account returns the state of the client account and updates its limits.
func (a *Admitter) account(l *recorder.ClientAccount, now time.Time) *account {
	c := a.accounts[l.Name]
	if c == nil {
		if a.accounts == nil {
			a.accounts = map[recorder.Name]*account{}
		}
		if len(a.accounts) >= pruneAbove {
			a.forgetIdle(now)
		}
		c = &account{name: l.Name, limits: l}
		a.accounts[l.Name] = c
	}
	if c.limits != l {
		before := c.weight()
		c.limits = l
		if len(c.queue) > 0 {
			a.backloggedWeight += c.weight() - before
		}
		if c.active {
			a.activeWeight += c.weight() - before
		}
	}
	return c
}

// forgetIdle removes the accounts without requests for a minute.
func (a *Admitter) forgetIdle(now time.Time) {
	for n, c := range a.accounts {
		if c.inFlight == 0 && len(c.queue) == 0 && now.Sub(c.refilledAt) > time.Minute {
			delete(a.accounts, n)
		}
	}
}

package admitter

import (
	"math"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// account is the state of one client account at this gateway.
type account struct {
	name recorder.Name
	// limits is the last configuration seen.
	limits *recorder.ClientAccount

	// tokens are the requests that may start now, as of filled.
	tokens float64
	filled time.Time

	inFlight int
	// active tells that the account has requests in flight or in the queue.
	active bool
	// queue holds the waiting requests in the order of arrival.
	queue []*waiter
	// start is the virtual time at which the head of the queue begins service.
	start float64
	// finish is the virtual time at which the last request taken ends.
	finish float64
	// hold is the mean time for which the account's requests hold capacity.
	hold mean
}

// mean is an exponentially weighted mean in seconds; 0 before the first sample.
type mean float64

// meanWeight is the weight of the newest sample. Twenty samples carry most of
// the mean, which follows a change of load within a second at 20 requests a second.
const meanWeight = 0.1

func (m *mean) add(d time.Duration) {
	if *m == 0 {
		*m = mean(d.Seconds())
		return
	}
	*m += meanWeight * (mean(d.Seconds()) - *m)
}

func (m mean) duration() time.Duration { return seconds(float64(m)) }

// seconds converts without overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, math.MaxInt64/4e9) * float64(time.Second))
}

func (a *account) weight() float64 { return float64(max(a.limits.Weight, 1)) }

// concurrency returns the requests that may be in flight at this gateway.
func (a *account) concurrency(share float64) int {
	return max(int(float64(a.limits.Concurrency)*share), 1)
}

// fill adds the tokens since the last call. The bucket holds at least one.
func (a *account) fill(now time.Time, share float64) {
	most := max(float64(a.limits.Burst)*share, 1)
	if a.filled.IsZero() {
		a.tokens = most
	} else if d := now.Sub(a.filled); d > 0 {
		a.tokens = min(a.tokens+d.Seconds()*a.limits.RequestsPerSecond*share, most)
	}
	a.filled = now
}

// nextToken returns the time until a request may start.
func (a *account) nextToken(share float64) time.Duration {
	return seconds((1 - a.tokens) / (a.limits.RequestsPerSecond * share))
}

// remove takes the waiter at index i out of the queue.
func (a *account) remove(i int) *waiter {
	w := a.queue[i]
	copy(a.queue[i:], a.queue[i+1:])
	a.queue[len(a.queue)-1] = nil
	a.queue = a.queue[:len(a.queue)-1]
	w.queued = false
	return w
}

// account returns the state of the account with its present limits.
func (a *Admitter) account(l *recorder.ClientAccount, now time.Time) *account {
	c := a.accounts[l.Name]
	if c == nil {
		if a.accounts == nil {
			a.accounts = map[recorder.Name]*account{}
		}
		if len(a.accounts) >= maxIdle {
			a.forgetIdle(now)
		}
		c = &account{name: l.Name, limits: l}
		a.accounts[l.Name] = c
	}
	if c.limits != l {
		before := c.weight()
		c.limits = l
		if len(c.queue) > 0 {
			a.weights += c.weight() - before
		}
		if c.active {
			a.active += c.weight() - before
		}
	}
	return c
}

// forgetIdle drops the accounts without requests for a minute.
func (a *Admitter) forgetIdle(now time.Time) {
	for n, c := range a.accounts {
		if c.inFlight == 0 && len(c.queue) == 0 && now.Sub(c.filled) > time.Minute {
			delete(a.accounts, n)
		}
	}
}

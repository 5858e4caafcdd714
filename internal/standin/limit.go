package standin

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

const (
	// RequestBurst is the burst of limits of requests.
	RequestBurst = 100 * time.Millisecond
	// ByteBurst is the burst of limits of bytes. It is short, so that a transfer
	// of some hundred milliseconds already shows the rate of its link.
	ByteBurst = 20 * time.Millisecond
)

// Sleep waits for d and reports false when ctx ends before.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// NewLimiter returns a limiter of perSecond events with the burst of the given
// time, at least low events. A perSecond of 0 or less gives nil: no limit.
func NewLimiter(perSecond float64, burst time.Duration, low int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(low, int(perSecond*burst.Seconds())))
}

// Admit takes one event of l. When the limit is used up, it answers 429 with
// Retry-After in whole seconds and reports false. A nil l admits all.
func Admit(w http.ResponseWriter, l *rate.Limiter, now time.Time) bool {
	if l == nil || l.AllowN(now, 1) {
		return true
	}
	wait := (1 - l.TokensAt(now)) / float64(l.Limit())
	w.Header().Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(wait)))))
	ReplyError(w, http.StatusTooManyRequests, "rate limit is used up")
	return false
}

// ParseWait reads the parameter wait-ms of a long poll, at most high.
func ParseWait(q url.Values, high time.Duration) (time.Duration, error) {
	v := q.Get("wait-ms")
	if v == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(v, 10, 32)
	if err != nil || n < 0 {
		return 0, errors.Newf("parameter wait-ms: %q is not a number of milliseconds", v)
	}
	return min(time.Duration(n)*time.Millisecond, high), nil
}

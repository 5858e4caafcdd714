package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// balancer stands for the platform's load balancer: it sends requests in turn
// to the targets whose /readyz answers 200.
type balancer struct {
	targets []string
	client  *http.Client
	turn    atomic.Uint64
	ready   atomic.Pointer[[]string]
}

// next returns the target of the next request. Where none is ready, all are used.
func (b *balancer) next() string {
	l := b.targets
	if r := b.ready.Load(); r != nil && len(*r) > 0 {
		l = *r
	}
	return l[b.turn.Add(1)%uint64(len(l))]
}

// probe looks at the targets until the context ends.
func (b *balancer) probe(ctx context.Context, every time.Duration) {
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		var ready []string
		for _, u := range b.targets {
			if b.isReady(ctx, u, every) {
				ready = append(ready, u)
			}
		}
		b.ready.Store(&ready)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *balancer) isReady(ctx context.Context, target string, limit time.Duration) bool {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, target+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	r, err := b.client.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

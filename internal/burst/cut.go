package burst

import (
	"context"
	"sync"
)

// cut separates one failure domain from everything else. Bytes in between wait
// until it is healed, as those of TCP connections do.
type cut struct {
	mu sync.Mutex
	// domain is empty and healed is nil while there is no cut.
	domain string
	healed chan struct{}
}

// begin cuts off a failure domain.
func (c *cut) begin(domain string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.domain, c.healed = domain, make(chan struct{})
}

// heal ends the cut.
func (c *cut) heal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed != nil {
		close(c.healed)
	}
	c.domain, c.healed = "", nil
}

// between returns a channel that is closed when two failure domains can reach
// each other again; nil where they can. The origin has no failure domain.
func (c *cut) between(a, b string) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.healed == nil || a == b || a != c.domain && b != c.domain {
		return nil
	}
	return c.healed
}

// wait returns when the domains can reach each other or done is closed.
func (c *cut) wait(a, b string, done <-chan struct{}) {
	if h := c.between(a, b); h != nil {
		select {
		case <-h:
		case <-done:
		}
	}
}

// dial returns when the domains can reach each other or the context ends.
func (c *cut) dial(ctx context.Context, a, b string) error {
	c.wait(a, b, ctx.Done())
	return ctx.Err()
}

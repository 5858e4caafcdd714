package standin

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Chance selects events by count, by share or both. The zero value selects none.
type Chance struct {
	// Count selects the next Count events that Share lets through; 0 sets no bound.
	Count int `json:"count,omitempty"`
	// Share selects this share of events, 0 to 1; 0 with a Count means all.
	Share float64 `json:"share,omitempty"`
}

// Check reports the first wrong field.
func (c Chance) Check() error {
	if err := CheckCount("count", c.Count); err != nil {
		return err
	}
	return errors.Wrap(CheckShare("share", c.Share), "chance")
}

// Picker applies a Chance to a row of events.
type Picker struct {
	mu   sync.Mutex
	c    Chance
	left int
}

// Set replaces the chance and begins to count anew.
func (p *Picker) Set(c Chance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c, p.left = c, c.Count
}

// Hit reports whether the next event is selected.
func (p *Picker) Hit(d *Dice) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.c.Count > 0 && p.left == 0 {
		return false
	}
	share := p.c.Share
	if p.c.Count > 0 && share == 0 {
		share = 1
	}
	if !d.Hit(share) {
		return false
	}
	if p.left > 0 {
		p.left--
	}
	return true
}

package observer

import (
	"sync"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// View serves a table with shortened records, for readers that need only a part of
// each. Its fields are set before the first read.
type View struct {
	Table *Table
	// Shorten returns the part of a record that the view contains.
	Shorten func(key string, value []byte) []byte

	mu sync.Mutex
	// short caches the shortened record of the newest record of each key.
	short map[string]shortItem
}

// shortItem is a shortened item of an epoch.
type shortItem struct {
	connector.Item
	epoch uint64
}

// shorten replaces the values of items of the table by the shortened ones.
func (v *View) shorten(c connector.Changes) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.short == nil {
		v.short = make(map[string]shortItem)
	}
	for i, o := range c.Items {
		if o.Value == nil {
			delete(v.short, o.Key)
			continue
		}
		s, ok := v.short[o.Key]
		if !ok || s.epoch != c.Epoch || s.Offset != o.Offset || s.Lost != o.Lost {
			s = shortItem{connector.Item{Key: o.Key, Value: v.Shorten(o.Key, o.Value), Offset: o.Offset, Lost: o.Lost}, c.Epoch}
			v.short[o.Key] = s
		}
		c.Items[i] = s.Item
	}
}

package engine

import (
	"slices"
)

// cache holds the most recently used prompt prefixes, the newest last. It is
// short, so a slice serves.
type cache struct {
	prefixes []string
}

// use marks a prefix as used and reports whether it was there. At most size
// prefixes are kept.
func (c *cache) use(prefix string, size int) bool {
	i := slices.Index(c.prefixes, prefix)
	if i >= 0 {
		c.prefixes = slices.Delete(c.prefixes, i, i+1)
	}
	c.prefixes = append(c.prefixes, prefix)
	c.prefixes = c.prefixes[max(0, len(c.prefixes)-size):]
	return i >= 0
}

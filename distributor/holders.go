package distributor

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// maxHolders bounds the receivers of a chunk that a Handler remembers, and
	// maxHeldChunks the chunks for which it does.
	maxHolders    = 32
	maxHeldChunks = 4096
	// namedHolders is the number of holders that one reply names.
	namedHolders = 2
)

// holders remembers which instances of the region got which chunks from this one. While
// this instance is busy, it sends others there: a chunk that a whole cell waits for spreads
// in a few rounds, and not over the link of one instance. The zero value is ready to use.
type holders struct {
	mu      sync.Mutex
	byChunk map[recorder.Digest]*holderList
}

// holderList holds the receivers of one chunk.
type holderList struct {
	names []recorder.Name
	// changed is closed and replaced when a receiver is added.
	changed chan struct{}
}

// list returns the entry of a chunk. The caller must hold h.mu.
func (h *holders) list(d recorder.Digest) *holderList {
	if h.byChunk == nil || len(h.byChunk) >= maxHeldChunks {
		h.byChunk = make(map[recorder.Digest]*holderList)
	}
	l := h.byChunk[d]
	if l == nil {
		l = &holderList{changed: make(chan struct{})}
		h.byChunk[d] = l
	}
	return l
}

// add records that the instance got the chunk.
func (h *holders) add(d recorder.Digest, n recorder.Name) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.list(d)
	if len(l.names) < maxHolders {
		l.names = append(l.names, n)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// pick returns the number of holders of a chunk and up to namedHolders of them, in random
// order, if there are at least twice as many as the asking instance has seen, so that it
// is sent on only a few times. The channel is closed when there are more.
func (h *holders) pick(d recorder.Digest, seen int) (count int, names []recorder.Name, changed <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.list(d)
	count = len(l.names)
	if count < 2*min(seen, maxHolders)+1 {
		return count, nil, l.changed
	}
	for _, i := range rand.Perm(count)[:min(count, namedHolders)] {
		names = append(names, l.names[i])
	}
	return count, names, l.changed
}

// formatNames returns the value of headerHolders.
func formatNames(l []recorder.Name) string {
	var b strings.Builder
	for i, n := range l {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(n))
	}
	return b.String()
}

// parseHolders parses the values of headerHolderCount and headerHolders up to the first
// invalid name.
func parseHolders(count, names string) (seen int, l []recorder.Name) {
	seen, err := strconv.Atoi(count)
	if err != nil || seen < 0 {
		return 0, nil
	}
	for n := range strings.SplitSeq(names, ",") {
		if len(l) == namedHolders || recorder.Name(n).Check() != nil {
			break
		}
		l = append(l, recorder.Name(n))
	}
	return seen, l
}

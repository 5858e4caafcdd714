package distributor

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxChainLen bounds the names of a chain, and so the length of a reply's header.
// Longer cycles end by Fetcher.Patience.
const maxChainLen = 16

// waitChain lists the instances that wait for each other for one chunk: the first
// is asked by the owner of the waitChain, each other one by the instance before it.
type waitChain []recorder.Name

// parseWaitChain reads the value of headerSource; invalid names end it.
func parseWaitChain(s string) waitChain {
	var c waitChain
	for n := range strings.SplitSeq(s, ",") {
		if len(c) == maxChainLen || recorder.Name(n).Check() != nil {
			break
		}
		c = append(c, recorder.Name(n))
	}
	return c
}

// String returns the value of headerSource.
func (c waitChain) String() string {
	var b strings.Builder
	for i, n := range c {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(string(n))
	}
	return b.String()
}

// prepend returns the chain of an instance that asks source, whose chain is c.
func (c waitChain) prepend(source recorder.Name) waitChain {
	return append(waitChain{source}, c[:min(len(c), maxChainLen-1)]...)
}

// cycle returns the part of the chain that ends with self, or nothing where self is
// not waited for.
func (c waitChain) cycle(self recorder.Name) waitChain {
	return c[:slices.Index(c, self)+1]
}

// elect returns the member of a cycle that takes over. All members that know
// the whole cycle choose the same one, so that only one asks the origin.
func (c waitChain) elect(d recorder.Digest) recorder.Name {
	return slices.MinFunc(c, func(a, b recorder.Name) int {
		x, y := xxhash.Sum64String(string(a)+string(d[:])), xxhash.Sum64String(string(b)+string(d[:]))
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return strings.Compare(string(a), string(b))
	})
}

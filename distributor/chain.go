package distributor

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// maxChainLen limits the number of names in a chain and with it the length of a
// reply's header. Longer cycles are broken by Fetcher.HedgeDelay.
const maxChainLen = 16

// waitChain is the path of the wait-for graph of one chunk that starts at its
// owner: the owner asks the first instance, and each instance asks the next.
type waitChain []recorder.Name

// parseWaitChain parses the value of headerSource up to the first invalid name, but
// at most maxChainLen names.
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
	return formatNames(c)
}

// prepend returns the chain of an instance that asks source, whose own chain is c.
func (c waitChain) prepend(source recorder.Name) waitChain {
	return append(waitChain{source}, c[:min(len(c), maxChainLen-1)]...)
}

// cycle returns the part of the chain that ends with self, or an empty chain if
// self is not in it.
func (c waitChain) cycle(self recorder.Name) waitChain {
	return c[:slices.Index(c, self)+1]
}

// elect returns the member of a cycle that breaks it. All members that know
// the whole cycle elect the same one, so that only one asks the origin.
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

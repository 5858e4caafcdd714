package distributor

import "sync/atomic"

// Stats counts the bytes of chunk and manifest bodies since the start, by the level
// of the other side. SentEngine counts the bytes sent to the engine.
type Stats struct {
	Received, Sent [levels]int64
	SentEngine     int64
	// Takeovers counts how often the next source in rank was asked after a failure or
	// delay of a source, Corrupt the received chunks with a wrong digest or length.
	Takeovers, Corrupt int64
}

// TotalReceived returns the sum over all levels.
func (s Stats) TotalReceived() int64 { return sum(s.Received) }

// TotalSent returns the sum over all levels of peers.
func (s Stats) TotalSent() int64 { return sum(s.Sent) }

func sum(v [levels]int64) (n int64) {
	for _, x := range v {
		n += x
	}
	return n
}

type counters [levels]atomic.Int64

func (c *counters) load() (out [levels]int64) {
	for i := range c {
		out[i] = c[i].Load()
	}
	return out
}

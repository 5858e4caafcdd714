package platformlog

import (
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
)

// stream is one row of records. The zero value is empty.
type stream struct {
	// gone is the number of records that have left; the first kept record has
	// offset gone+1.
	gone    uint64
	entries []connector.Entry
	// grown is closed at the next append.
	grown chan struct{}
}

func (s *stream) first() uint64 { return s.gone + 1 }

func (s *stream) next() uint64 { return s.gone + uint64(len(s.entries)) + 1 }

func (s *stream) append(now time.Time, bodies [][]byte) uint64 {
	n := s.next()
	for i, b := range bodies {
		s.entries = append(s.entries, connector.Entry{Offset: n + uint64(i), At: now.UTC(), Body: b})
	}
	if s.grown != nil {
		close(s.grown)
		s.grown = nil
	}
	return n
}

func (s *stream) wait() <-chan struct{} {
	if s.grown == nil {
		s.grown = make(chan struct{})
	}
	return s.grown
}

// cut drops the records that were appended after the time, and ends the waiting of reads.
func (s *stream) cut(at time.Time) {
	n := len(s.entries)
	for n > 0 && s.entries[n-1].At.After(at) {
		n--
	}
	// Readers may still hold the old records.
	s.entries = append([]connector.Entry(nil), s.entries[:n]...)
	if s.grown != nil {
		close(s.grown)
		s.grown = nil
	}
}

// trim drops records older than keepFor and those above keep; 0 keeps all.
func (s *stream) trim(now time.Time, keepFor time.Duration, keep int) {
	n := 0
	if keep > 0 {
		n = max(0, len(s.entries)-keep)
	}
	if keepFor > 0 {
		for n < len(s.entries) && now.Sub(s.entries[n].At) > keepFor {
			n++
		}
	}
	clear(s.entries[:n])
	s.entries = s.entries[n:]
	s.gone += uint64(n)
}

// read returns up to limit records from the offset on, of at most size bytes
// together unless the first alone is larger.
func (s *stream) read(from uint64, limit, size int) connector.Batch {
	b := connector.Batch{First: s.first(), Next: s.next(), Entries: []connector.Entry{}}
	if from >= b.Next {
		return b
	}
	for _, e := range s.entries[from-b.First:] {
		size -= len(e.Body)
		if len(b.Entries) == limit || size < 0 && len(b.Entries) > 0 {
			break
		}
		b.Entries = append(b.Entries, e)
		b.Next = e.Offset + 1
	}
	return b
}

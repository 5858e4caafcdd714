package direct

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/isolator"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
)

const (
	// endingInterval is the interval at which a gateway sends endings to the others.
	endingInterval = 50 * time.Millisecond
	// maxCounters is the number of gateways that count the endings of all, so that the messages
	// for an ending don't grow with the gateways. They send what is held to all others.
	maxCounters = 8
	// maxReminded is the number of gateways that get one hold in an interval once all were sent it.
	maxReminded = 16
)

// newIsolator returns the isolator of the gateway.
func (g *Gateway) newIsolator() *isolator.Isolator {
	return &isolator.Isolator{
		MaxEndings: g.HoldEndings, Hold: g.HoldTime,
		Held: func(h isolator.Hold) {
			g.Log.Warn().Stringer("digest", h.Digest).Str("part", h.Part).Strs("endpoints", h.Processes).Int("trials", h.Trials).
				Dur("held-ms", time.Until(h.Until)).Msg("request-held")
			go g.front.EndHeld(h.Digest)
		},
		Released: func(h isolator.Hold, refused int) {
			g.Log.Info().Stringer("digest", h.Digest).Str("part", h.Part).Int("refused", refused).Msg("request-released")
		},
		Changed: func() {
			select {
			case g.endingNews <- struct{}{}:
			default:
			}
		},
	}
}

// endingSender sends what the isolator has learned to other gateways.
type endingSender struct {
	// Gateways returns the gateways, this one included, in the same order at each of them.
	Gateways func() []*observer.Gateway
	// Self is the peer address of this gateway.
	Self netip.AddrPort
	// Write sends a datagram. A lost one is made up for by the next ones.
	Write func(b []byte, to netip.AddrPort) error

	// sent holds for each hold that all gateways were sent when it was decided.
	sent map[isolator.Digest]time.Time
	next int
}

// send sends a message to the gateways that need it.
func (s *endingSender) send(m isolator.Message) error {
	b, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode endings")
	}
	for _, to := range s.receivers(m) {
		err = errors.CombineErrors(err, s.Write(b, to))
	}
	return err
}

// receivers returns all gateways for a new hold, some of them for one that was sent before, and
// the counters for endings.
func (s *endingSender) receivers(m isolator.Message) []netip.AddrPort {
	var all []netip.AddrPort
	for _, g := range s.Gateways() {
		all = append(all, g.Address)
	}
	if len(m.Holds) == 0 {
		all = s.counters()
	} else if h := m.Holds[0]; m.IsReminder || s.sent[h.Digest].Equal(h.Changed) {
		all = s.some(all)
	} else {
		if s.sent == nil || len(s.sent) > maxSent {
			s.sent = make(map[isolator.Digest]time.Time)
		}
		s.sent[h.Digest] = h.Changed
	}
	return slices.DeleteFunc(all, func(a netip.AddrPort) bool { return a == s.Self })
}

// counters returns the gateways that count the endings of all. They are spread over the failure
// domains.
func (s *endingSender) counters() []netip.AddrPort {
	l := slices.SortedFunc(slices.Values(s.Gateways()), func(a, b *observer.Gateway) int {
		return cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name))
	})
	var all []netip.AddrPort
	for _, g := range l[:min(len(l), maxCounters)] {
		all = append(all, g.Address)
	}
	return all
}

// maxSent is the number of holds that are remembered as sent.
const maxSent = 256

// some returns the next maxReminded gateways in turn.
func (s *endingSender) some(all []netip.AddrPort) []netip.AddrPort {
	if len(all) <= maxReminded {
		return all
	}
	var l []netip.AddrPort
	for range maxReminded {
		l = append(l, all[s.next%len(all)])
		s.next++
	}
	return l
}

// sendEndings sends the news of the isolator until ctx is done: at once, and again at an interval.
func (g *Gateway) sendEndings(ctx context.Context) error {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: g.Peers.Addr().AsSlice()})
	if err != nil {
		return errors.Wrap(err, "open UDP socket for endings")
	}
	defer func() { _ = c.Close() }()
	s := endingSender{Gateways: g.follower.state.GatewayList, Self: g.Peers, Write: func(b []byte, to netip.AddrPort) error {
		_, err := c.WriteToUDPAddrPort(b, to)
		return err
	}}
	t := time.NewTicker(endingInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.endingNews:
		case <-t.C:
		}
		if g.front.Isolator.IsIdle() {
			continue
		}
		for _, m := range g.front.Isolator.News() {
			if err := s.send(m); err != nil {
				g.Log.Debug().Err(err).Msg("endings-not-sent")
			}
		}
	}
}

package follower_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// epochBed is a log with the gateways that read it.
type epochBed struct {
	t    *testing.T
	ctx  context.Context
	log  *fakeLog
	cut  map[*follower.Follower]*bool
	stop []func()
}

// newEpochBed returns a log in its first epoch.
func newEpochBed(t *testing.T) *epochBed {
	return &epochBed{t: t, ctx: t.Context(), log: &fakeLog{first: map[string]uint64{}, epoch: 1}, cut: map[*follower.Follower]*bool{}}
}

// start starts a gateway. It checks that the revision never decreases.
func (b *epochBed) start() *follower.Follower {
	cut := new(bool)
	refused := func() error {
		b.log.mu.Lock()
		defer b.log.mu.Unlock()
		if *cut {
			return &connector.Error{Op: "call", Kind: classifier.Unavailable, Err: errors.New("cut off")}
		}
		return nil
	}
	l := &connector.Log{
		Append: func(ctx context.Context, stream string, bodies [][]byte) (uint64, error) {
			if err := refused(); err != nil {
				return 0, err
			}
			return b.log.append(ctx, stream, bodies)
		},
		Read: func(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (connector.Batch, error) {
			if err := refused(); err != nil {
				return connector.Batch{}, err
			}
			batch, err := b.log.read(ctx, stream, from, limit, wait)
			if err := refused(); err != nil {
				return connector.Batch{}, err
			}
			return batch, err
		},
	}
	f := &follower.Follower{Log: l, Replica: &follower.Replica{}}
	b.cut[f] = cut
	ctx, cancel := context.WithCancel(b.ctx)
	done, checked := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	go func() {
		defer close(checked)
		for last := uint64(0); ctx.Err() == nil; {
			c := f.Replica.Changed()
			n := f.Replica.Current().Offset
			if n < last {
				b.t.Errorf("revision %d after %d", n, last)
			}
			last = n
			select {
			case <-c:
			case <-ctx.Done():
			}
		}
	}()
	b.stop = append(b.stop, func() { cancel(); <-done; <-checked })
	return f
}

func (b *epochBed) setCut(f *follower.Follower, cut bool) { b.log.set(func() { *b.cut[f] = cut }) }

// put appends a failure domain as an operator does.
func (b *epochBed) put(name string) {
	r := domainRecord(name)
	body, err := r.Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	if _, err := b.log.append(b.ctx, connector.ConfigurationStream, [][]byte{body}); err != nil {
		b.t.Fatal(err)
	}
}

// expect fails unless all gateways have exactly the failure domains, and equal States.
func (b *epochBed) expect(names string, fs ...*follower.Follower) {
	b.t.Helper()
	var first []byte
	for i, f := range fs {
		s := f.Replica.Current()
		var have []string
		for n := range s.FailureDomains {
			have = append(have, string(n))
		}
		slices.Sort(have)
		if got := strings.Join(have, " "); got != names {
			b.t.Errorf("gateway %d at revision %d has %q, want %q", i, s.Offset, got, names)
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			b.t.Fatal(err)
		}
		if first == nil {
			first = snapshot
		}
		if !bytes.Equal(first, snapshot) {
			b.t.Errorf("gateway %d differs:\n%s\n%s", i, first, snapshot)
		}
		if !f.Replica.CaughtUp() || f.Replica.IsBehind() {
			b.t.Errorf("gateway %d: caught up %t, behind %t", i, f.Replica.CaughtUp(), f.Replica.IsBehind())
		}
	}
}

func (b *epochBed) close() {
	for _, stop := range b.stop {
		stop()
	}
}

// settle is longer than the log's epochs take to begin.
const settle = 15 * time.Second

// Guards against a configuration that is lost with the records of a log that returned from an older
// copy, against changes after the return that take effect only after a restart, and against
// gateways that number or fold them differently.
func TestRestoredConfiguration(t *testing.T) {
	for _, c := range []struct {
		name string
		run  func(b *epochBed)
	}{
		{"a lost record and a new one at its offset", func(b *epochBed) {
			f, g := b.start(), b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(1)
			b.put("cairo")
			time.Sleep(time.Second)
			if n := len(f.Replica.Current().FailureDomains); n < 2 {
				b.t.Errorf("%d failure domains are in effect right after the return", n)
			}
			time.Sleep(settle)
			b.put("damietta")
			time.Sleep(time.Second)
			h := b.start()
			time.Sleep(time.Second)
			b.expect("aswan benha cairo damietta", f, g, h)
		}},
		{"nothing lost", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			time.Sleep(time.Second)
			b.log.restore(1)
			time.Sleep(settle)
			b.put("benha")
			g := b.start()
			time.Sleep(3 * time.Second)
			b.expect("aswan benha", f, g)
		}},
		{"everything lost", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(0)
			time.Sleep(settle)
			g := b.start()
			time.Sleep(3 * time.Second)
			b.expect("aswan benha", f, g)
		}},
		{"a gateway that read less", func(b *epochBed) {
			f, g, h := b.start(), b.start(), b.start()
			b.put("aswan")
			time.Sleep(3 * time.Second)
			b.setCut(f, true)
			b.setCut(g, true)
			b.put("benha")
			time.Sleep(3 * time.Second)
			b.log.restore(1)
			b.setCut(f, false)
			b.setCut(g, false)
			b.put("cairo")
			time.Sleep(settle)
			b.expect("aswan benha cairo", f, g, h)
		}},
		{"a gateway that read more is cut off until the epoch has begun", func(b *epochBed) {
			f, g := b.start(), b.start()
			b.put("aswan")
			time.Sleep(3 * time.Second)
			b.setCut(f, true)
			b.put("benha")
			time.Sleep(3 * time.Second)
			b.setCut(g, true)
			b.log.restore(1)
			b.setCut(f, false)
			time.Sleep(settle)
			b.put("cairo")
			time.Sleep(3 * time.Second)
			b.expect("aswan cairo", f)
			b.setCut(g, false)
			time.Sleep(settle)
			b.put("damietta")
			h := b.start()
			time.Sleep(settle)
			b.expect("aswan benha cairo damietta", f, g, h)
		}},
		{"two returns within a second and a start between them", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(1)
			time.Sleep(500 * time.Millisecond)
			g := b.start()
			time.Sleep(400 * time.Millisecond)
			b.put("cairo")
			b.log.restore(0)
			b.put("damietta")
			time.Sleep(settle)
			b.expect("aswan benha damietta", f, g)
		}},
		{"a return that loses the beginning of the epoch", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(1)
			time.Sleep(settle)
			b.put("cairo")
			time.Sleep(time.Second)
			b.log.restore(1)
			b.put("damietta")
			time.Sleep(settle)
			g := b.start()
			time.Sleep(time.Second)
			b.expect("aswan benha cairo damietta", f, g)
		}},
		{"all gateways start anew", func(b *epochBed) {
			b.put("aswan")
			b.put("benha")
			b.log.restore(1)
			b.put("cairo")
			f, g := b.start(), b.start()
			time.Sleep(settle)
			b.expect("aswan cairo", f, g)
			if n := f.Replica.Current().Offset; n < 1<<20 {
				b.t.Errorf("revision %d, which agents may have from before", n)
			}
		}},
		{"all gateways start anew after a return that loses the beginning of the epoch", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(1)
			time.Sleep(settle)
			b.put("cairo")
			time.Sleep(time.Second)
			had := f.Replica.Current().Offset
			b.stop[0]()
			b.log.restore(1)
			g := b.start()
			time.Sleep(settle)
			b.expect("aswan", g)
			if n := g.Replica.Current().Offset; n <= had {
				b.t.Errorf("revision %d, while agents may have %d from before and ignore it", n, had)
			}
		}},
		{"a record between the read and the beginning", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(1)
			n := 0
			b.log.set(func() {
				b.log.beforeAppend = func(string, [][]byte) {
					if n++; n == 1 {
						b.put("cairo")
					}
				}
			})
			time.Sleep(settle)
			g := b.start()
			time.Sleep(time.Second)
			b.expect("aswan benha cairo", f, g)
		}},
		{"records have expired", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(1)
			time.Sleep(settle)
			b.put("cairo")
			time.Sleep(time.Second)
			parts, err := f.Split(f.Replica.Current())
			if err != nil {
				b.t.Fatal(err)
			}
			if _, err := b.log.append(b.ctx, connector.SnapshotStream, parts); err != nil {
				b.t.Fatal(err)
			}
			b.log.set(func() { b.log.first[connector.ConfigurationStream] = 4 })
			b.put("damietta")
			g := b.start()
			time.Sleep(time.Second)
			b.expect("aswan benha cairo damietta", f, g)
			b.log.set(func() { b.log.epoch++ })
			time.Sleep(settle)
			b.put("edfu")
			h := b.start()
			time.Sleep(time.Second)
			b.expect("aswan benha cairo damietta edfu", f, g, h)
		}},
		{"a gateway of the previous version has written a snapshot", func(b *epochBed) {
			f := b.start()
			b.put("aswan")
			b.put("benha")
			time.Sleep(time.Second)
			b.log.restore(1)
			time.Sleep(settle)
			b.put("cairo")
			time.Sleep(time.Second)
			s := f.Replica.Current()
			parts, err := f.Split(s)
			if err != nil {
				b.t.Fatal(err)
			}
			// It has the State from a peer, and takes the revision for the offset in the log.
			old, err := follower.Split(s.Skip(s.Offset + 1))
			if err != nil {
				b.t.Fatal(err)
			}
			if _, err := b.log.append(b.ctx, connector.SnapshotStream, append(parts, old...)); err != nil {
				b.t.Fatal(err)
			}
			b.log.set(func() { b.log.first[connector.ConfigurationStream] = 4 })
			b.put("damietta")
			g := b.start()
			time.Sleep(settle)
			b.expect("aswan benha cairo damietta", f, g)
		}},
		{"a State of several parts", func(b *epochBed) {
			f, g := b.start(), b.start()
			var names []string
			for i := range 1500 {
				names = append(names, fmt.Sprintf("d%04d", i))
				b.put(names[i])
			}
			time.Sleep(3 * time.Second)
			parts, err := follower.Split(f.Replica.Current())
			if err != nil || len(parts) < 2 {
				b.t.Fatalf("%d parts, error %v", len(parts), err)
			}
			b.log.restore(1490)
			b.put("e")
			time.Sleep(settle)
			b.put("f")
			h := b.start()
			time.Sleep(3 * time.Second)
			b.expect(strings.Join(append(names, "e", "f"), " "), f, g, h)
			// A copy that ends within the beginning has a part of it, which must not count.
			b.log.restore(1492)
			time.Sleep(settle)
			b.put("g")
			i := b.start()
			time.Sleep(3 * time.Second)
			b.expect(strings.Join(append(names, "e", "f", "g"), " "), f, g, h, i)
		}},
		{"the log takes no appends", func(b *epochBed) {
			b.put("aswan")
			b.log.set(func() { b.log.epoch = 3 })
			b.log.set(func() { b.log.refuseAppends = true })
			f := b.start()
			time.Sleep(settle)
			b.expect("aswan", f)
			b.log.set(func() { b.log.refuseAppends = false })
			time.Sleep(settle)
			b.put("benha")
			g := b.start()
			time.Sleep(time.Second)
			b.expect("aswan benha", f, g)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newEpochBed(t)
				defer b.close()
				c.run(b)
			})
		})
	}
}

// Guards against an operator's change that is submitted after a return and whose outcome names a
// revision that was given out before.
func TestSubmitAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newEpochBed(t)
		defer b.close()
		f := b.start()
		b.put("aswan")
		b.put("benha")
		time.Sleep(time.Second)
		before := f.Replica.Current().Offset
		b.log.restore(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		o, err := f.Submit(ctx, domainRecord("cairo"))
		if err != nil || !o.Accepted || o.Offset <= before {
			t.Errorf("outcome %+v, error %v, revision before %d", o, err, before)
		}
		if n := f.Replica.Current().Revision("failure-domain/cairo"); n != o.Offset {
			t.Errorf("revision %d, the outcome names %d", n, o.Offset)
		}
		r := domainRecord("cairo")
		r.Changes[0].FailureDomain = &recorder.FailureDomain{Name: "cairo", Region: "nile"}
		r.Changes[0].Expect = &o.Offset
		if p, err := f.Submit(ctx, r); err != nil || !p.Accepted {
			t.Errorf("a change of the new revision: %+v, %v", p, err)
		}
	})
}

// Guards against a gateway that reads the log 20 times a second while a peer is ahead of it: 640 of
// them would need twice the reads that the log allows.
func TestReadsWhileBehindPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newEpochBed(t)
		defer b.close()
		f := b.start()
		b.put("aswan")
		time.Sleep(time.Second)
		f.Replica.ObserveLogEnd(2)
		b.log.set(func() { b.log.reads = 0 })
		b.log.restore(1)
		time.Sleep(settle)
		b.expect("aswan", f)
		b.log.set(func() {
			if b.log.reads > 25 {
				t.Errorf("%d reads in %v", b.log.reads, settle)
			}
		})
	})
}

// Guards against a log line for each attempt to begin an epoch while the log refuses appends.
func TestRefusedBeginningIsLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &fakeLog{first: map[string]uint64{}, epoch: 2, refuseAppends: true}
		var lines bytes.Buffer
		f := &follower.Follower{Log: l.client(), Replica: &follower.Replica{Log: zerolog.New(&lines)}}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
		defer cancel()
		_ = f.Run(ctx)
		if n := strings.Count(lines.String(), "beginning of the epoch"); n != 1 {
			t.Errorf("%d lines in 10 minutes", n)
		}
	})
}

var soakSeeds = flag.Int("epochs.seeds", 3, "number of seeds of TestRestoredConfigurationSoak")

// Guards against a change that is in effect at a gateway and isn't any more after returns of the log,
// and against gateways that end with different configurations: at random moments changes are
// appended, gateways are cut off and start anew, and the log returns without its newest records.
func TestRestoredConfigurationSoak(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newEpochBed(t)
				defer b.close()
				r := rand.New(rand.NewPCG(seed, 1))
				fs := []*follower.Follower{b.start(), b.start(), b.start()}
				seen := map[*follower.Follower]map[recorder.Name]bool{}
				check := func() {
					for i, f := range fs {
						s := f.Replica.Current()
						if seen[f] == nil {
							seen[f] = map[recorder.Name]bool{}
						}
						for n := range seen[f] {
							if s.FailureDomains[n] == nil {
								t.Fatalf("%s was in effect at gateway %d and isn't at revision %d", n, i, s.Offset)
							}
						}
						for n := range s.FailureDomains {
							seen[f][n] = true
						}
					}
				}
				wait := func(d time.Duration) {
					for range 4 {
						time.Sleep(d / 4)
						check()
					}
				}
				n := 0
				put := func() {
					n++
					b.put(fmt.Sprintf("d%03d", n))
				}
				for range 12 {
					for range r.IntN(4) {
						put()
						wait(rand.N(300 * time.Millisecond))
					}
					cut := fs[r.IntN(len(fs))]
					if r.IntN(2) == 0 {
						b.setCut(cut, true)
						put()
						wait(3 * time.Second)
					}
					for range 1 + r.IntN(2) {
						b.log.mu.Lock()
						have := len(b.log.streams[connector.ConfigurationStream])
						b.log.mu.Unlock()
						b.log.restore(max(0, have-r.IntN(4)))
						if r.IntN(2) == 0 {
							put()
						}
						wait(time.Duration(r.IntN(900)+10) * time.Millisecond)
					}
					if r.IntN(3) == 0 {
						fs = append(fs, b.start())
					}
					wait(time.Duration(r.IntN(8000)+10) * time.Millisecond)
					b.setCut(cut, false)
					wait(30 * time.Second)
					put()
					wait(5 * time.Second)
				}
				var names []string
				for d := range fs[0].Replica.Current().FailureDomains {
					names = append(names, string(d))
				}
				slices.Sort(names)
				fs = append(fs, b.start())
				time.Sleep(3 * time.Second)
				b.expect(strings.Join(names, " "), fs...)
			})
		})
	}
}

package forwarder_test

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/forwarder"
	"github.com/eelgrassdrift/eelgrassdrift/internal/receiver"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// A gateway of 136 MB must not hold more than its memory: bodies were bounded by 64 MiB whatever
// the instance had, and calls not at all. The figures are those of the two kinds of gateways, and 0
// where they aren't known, as in existing deployments.
func TestNewCapacity(t *testing.T) {
	const (
		// base is what the process takes without calls, and connections what half of 2870
		// descriptors take at 16 KiB each.
		base, connections = 40e6, 1435 * 16 << 10
		callBytes         = 96 << 10
	)
	for _, c := range []struct {
		memory  int64
		buffers int64
		calls   int
	}{
		{0, 0, 0},
		{136e6, 34e6, 345},
		{536e6, receiver.MaxBufferedBytes, 1363},
		{32e6, 32 << 20, 81},
		{1e6, 32 << 20, 16},
	} {
		p := forwarder.NewCapacity(c.memory, 0)
		if p.Buffers != c.buffers || p.Calls != c.calls {
			t.Errorf("%d bytes of memory: buffers %d, calls %d; want %d, %d", c.memory, p.Buffers, p.Calls, c.buffers, c.calls)
		}
		if sum := base + connections + p.Buffers + int64(p.Calls)*callBytes; c.memory >= 136e6 && sum > c.memory {
			t.Errorf("%d bytes of memory: all bounds together are %d", c.memory, sum)
		}
	}
}

// A gateway that takes more than its memory or its link carries serves all of its callers late. The
// load is bodies of 1 MB at a gateway with 28 Mbit/s, which carries 3.5 MB a second, and calls
// beyond the bound. A small body is not refused because of the link.
func TestCapacity(t *testing.T) {
	now := time.Unix(1000, 0)
	p := forwarder.NewCapacity(136e6, 28e6/8)
	p.Now = func() time.Time { return now }
	p.Calls = 4
	for i, s := range []struct {
		after            time.Duration
		returned         int
		carried          int
		length, buffered int64
		want             string
	}{
		{0, 0, 0, 4 << 20, 0, ""},
		{0, 0, 4 << 20, 40e3, 0, "link-full"}, // The largest body, alone: 1.2 s of the link.
		{690 * time.Millisecond, 0, 0, 40e3, 0, "link-full"},
		{0, 0, 0, -1, 0, "link-full"},
		{0, 0, 0, receiver.UncountedBytes + 1, 0, "link-full"},
		{0, 0, 0, receiver.UncountedBytes, 0, ""},
		{10 * time.Millisecond, 0, 0, 1e6, 0, ""},
		{0, 0, 1e6, 1e6, 0, "link-full"},
		{time.Second, 0, 0, -1, 0, ""},
		{0, 0, 0, 0, 0, "too-many-calls"},
		{0, 1, 0, 0, 0, ""},
		{time.Hour, 4, 0, 1e6, 33.5e6, "no-room-for-body"},
		{0, 0, 0, 10e3, 33.99e6, ""},
		{0, 0, 0, 1e6, 32e6, ""},
		{0, 2, 0, 35e6, 0, ""}, // Nothing else is held; the configured limit of bodies bounds it.
	} {
		now = now.Add(s.after)
		for range s.returned {
			p.Return()
		}
		p.Carry(s.carried)
		if got := p.Take(s.length, s.buffered); got != s.want {
			t.Errorf("step %d: %q, want %q", i, got, s.want)
		}
	}
	u := p.Use()
	if u.Calls != 1 || u.Refused["link-full"] != 5 || u.Refused["too-many-calls"] != 1 || u.Refused["no-room-for-body"] != 1 {
		t.Errorf("used %+v", u)
	}
}

// Answers pass the same link as bodies.
func TestCapacityOfAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	p := forwarder.NewCapacity(0, 1e6)
	p.Now = func() time.Time { return now }
	for range 600 {
		p.Carry(1000)
	}
	if got := p.Take(40e3, 0); got != "link-full" {
		t.Errorf("got %q while answers take the link for 0.6 s", got)
	}
	now = now.Add(110 * time.Millisecond)
	if got := p.Take(40e3, 0); got != "" {
		t.Errorf("got %q", got)
	}
}

// A body that is announced and never sent took the link for as long as it would have needed: one
// of 1 TB closed the gateway for 79 hours, and one of 4 MiB for 0.7 s.
func TestCapacityOfAnnouncedBody(t *testing.T) {
	for _, length := range []int64{4 << 20, 1e12, math.MaxInt64} {
		p := forwarder.NewCapacity(0, 28e6/8)
		now := time.Unix(1000, 0)
		p.Now = func() time.Time { return now }
		if got := p.Take(length, 0); got != "" {
			t.Errorf("%d bytes: got %q", length, got)
		}
		p.Return()
		if got := p.Take(1e6, 0); got != "" || p.Use().LinkWait != 0 {
			t.Errorf("after an announced body of %d bytes: got %q, the link is taken for %s", length, got, p.Use().LinkWait)
		}
	}
}

// Without a bound the time that the link is taken for overflowed, and the gateway was closed for
// ever or never.
func TestLinkWaitIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	p := forwarder.NewCapacity(0, 1)
	p.Now = func() time.Time { return now }
	for range 3 {
		p.Carry(math.MaxInt)
	}
	if got := p.Use().LinkWait; got != time.Minute {
		t.Errorf("the link is taken for %s, want a minute", got)
	}
	now = now.Add(time.Minute)
	if got := p.Take(1e6, 0); got != "" {
		t.Errorf("got %q a minute later", got)
	}
}

// An announced length above the limit of bodies must be refused before anything is taken, whether
// the caller sends the body or not. Below 256 KiB net/http waits for the body before it answers.
func TestAnnouncedBodyTooLarge(t *testing.T) {
	for _, limit := range []int64{1000, 4 << 20} {
		f, _ := newHandler(t, 1)
		configuration := configurationWithTimeout(10 * time.Second)
		configuration.Limits.BodyBytes = limit
		table := resolver.New(configuration)
		f.Table = func() *resolver.Table { return table }
		// A call that is under way leaves no room for another one.
		p := &forwarder.Capacity{Calls: 1, Link: 28e6 / 8}
		_ = p.Take(0, 0)
		f.SetCapacity(p)
		c, err := net.Dial("tcp", strings.TrimPrefix(serve(t, f), "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		_, _ = fmt.Fprintf(c, "POST /any/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer key\r\nContent-Length: %d\r\n\r\n", limit+1)
		r, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Errorf("limit %d: %v", limit, err)
			continue
		}
		b, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		if r.StatusCode != http.StatusRequestEntityTooLarge || !r.Close || string(b) != "body-too-large\n" {
			t.Errorf("limit %d: got %d %q, closed: %t", limit, r.StatusCode, b, r.Close)
		}
		if u := p.Use(); u.Calls != 1 || len(u.Refused) != 0 || u.LinkWait > time.Millisecond {
			t.Errorf("limit %d: used %+v", limit, u)
		}
	}
}

// A request that the gateway can't take must not run, and its caller must be told at once so that
// another gateway gets it. The room must be given back after each kind of end.
func TestCapacityOfHandler(t *testing.T) {
	f, all := newHandler(t, 1)
	p := &forwarder.Capacity{Calls: 2}
	f.SetCapacity(p)
	all[0].script, all[0].release = &script{steps: []string{"wait", "wait"}}, make(chan struct{})
	url := serve(t, f)
	results := make(chan string, 2)
	for range 2 {
		go func() { results <- sendRequest(url, "any") }()
	}
	await(t, "two calls are under way", func() bool { return inFlight(f.Dispatcher) == 2 })
	began := time.Now()
	if got := sendRequest(url, "any"); got != "503 own retry-after" {
		t.Errorf("got %q", got)
	}
	if d := time.Since(began); d > time.Second {
		t.Errorf("the refusal took %s", d)
	}
	close(all[0].release)
	for range 2 {
		if got := <-results; !strings.HasPrefix(got, "200") {
			t.Errorf("got %q", got)
		}
	}
	all[0].mu.Lock()
	if n := len(all[0].seen); n != 2 {
		t.Errorf("the endpoint got %d requests", n)
	}
	all[0].mu.Unlock()
	await(t, "the calls are returned", func() bool { return p.Use().Calls == 0 })
	for _, step := range []string{"ok", "drop", "fail"} {
		all[0].mu.Lock()
		all[0].script = &script{steps: []string{step}}
		all[0].mu.Unlock()
		_ = sendRequest(url, "once")
	}
	await(t, "the calls are returned", func() bool { return p.Use().Calls == 0 })
}

// Bodies of known and unknown length, events and whole answers must count as bytes of the link,
// and none of them twice.
func TestCapacityCountsBytes(t *testing.T) {
	for _, c := range []struct {
		route, step string
		chunked     bool
		least       int
	}{
		{"resume", "events 1 2 3", false, 45},
		{"any", "large", false, largeBody},
		{"once", "drop", true, 0},
	} {
		f, all := newHandler(t, 1)
		p := forwarder.NewCapacity(0, 1e6) // A byte takes a microsecond.
		now := time.Now()
		p.Now = func() time.Time { return now }
		f.SetCapacity(p)
		all[0].script = &script{steps: []string{c.step}}
		q := newRequest(t.Context(), serve(t, f), c.route, "id-1")
		sent := len("body")
		if c.chunked {
			sent = 100
			q.Body, q.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", sent))), -1
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		await(t, "the call is returned", func() bool { return p.Use().Calls == 0 })
		want := time.Duration(sent+len(b)) * time.Microsecond
		if got := p.Use().LinkWait; got.Round(time.Microsecond) != want || len(b) < c.least {
			t.Errorf("%s: the call takes %s of the link, want %s; %d bytes were answered", c.step, got, want, len(b))
		}
	}
}

// The bytes of an answer that its caller doesn't read never pass the link. They were counted
// before they were written, and other callers refused for as long as they would have taken.
func TestCapacityOfUnreadAnswer(t *testing.T) {
	f, all := newHandler(t, 1)
	f.WriteTimeout = 300 * time.Millisecond
	p := forwarder.NewCapacity(0, 1e6) // A byte takes a microsecond.
	now := time.Now()
	p.Now = func() time.Time { return now }
	f.SetCapacity(p)
	all[0].script = &script{steps: []string{"large"}}
	c := sendSlowly(t, serve(t, f), "any", 4<<10)
	defer func() { _ = c.Close() }()
	await(t, "an answer is written", func() bool { return p.Use().LinkWait > 50*time.Millisecond })
	await(t, "the call is returned", func() bool { return p.Use().Calls == 0 })
	if got := p.Use().LinkWait; got >= largeBody*time.Microsecond {
		t.Errorf("an answer that wasn't read takes %s of the link", got)
	}
}

// Callers that don't read must not make a small gateway hold more than its share of the memory.
func TestCapacityOfSlowReaders(t *testing.T) {
	// least is the buffer of one answer.
	const least = 8 << 20
	f, all := newHandler(t, 4)
	f.WriteTimeout = 500 * time.Millisecond
	p := forwarder.NewCapacity(136e6, 0)
	f.SetCapacity(p)
	for _, b := range all {
		b.script = &script{steps: slicesOf("large", 40)}
	}
	url := serve(t, f)
	for range 16 {
		c := sendSlowly(t, url, "any", 4<<10)
		defer func() { _ = c.Close() }()
	}
	most, began := int64(0), time.Now()
	// On a busy machine the first answer is late.
	for most < least && time.Since(began) < 10*time.Second || time.Since(began) < 700*time.Millisecond {
		most = max(most, f.BufferedBytes())
		time.Sleep(time.Millisecond)
	}
	t.Logf("%d bytes were held", most)
	if most > p.Buffers || most < least {
		t.Errorf("%d bytes were held, want at most %d and those of one answer", most, p.Buffers)
	}
	await(t, "all is given back", func() bool { return f.BufferedBytes() == 0 })
}

// The bound of calls must follow from what a call takes, or a gateway full of calls exceeds its
// memory. The callers and the endpoints of the test are in the same process, and the bodies just below the
// size from which they are counted.
func TestCallInMemory(t *testing.T) {
	const (
		callers = 345
		// callBytes is what Capacity assumes, and otherBytes what the caller and the endpoint of a call
		// may take: the body on both sides and the buffers of two connections.
		callBytes, otherBytes = 96 << 10, 2*receiver.UncountedBytes + 32<<10
	)
	f, all := newHandler(t, callers/2)
	c := configurationWithTimeout(5 * time.Minute)
	for i := range c.Routes {
		c.Routes[i].Attempts = 1
	}
	patient := resolver.New(c)
	f.Table = func() *resolver.Table { return patient }
	f.SetCapacity(&forwarder.Capacity{Calls: callers})
	release := make(chan struct{})
	for _, b := range all {
		b.script, b.release = &script{steps: slicesOf("wait", callers)}, release
	}
	url := serve(t, f)
	before := settledBytes()
	results := make(chan string, callers)
	for range callers {
		q := newRequest(t.Context(), url, "any", "id-1")
		q.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", receiver.UncountedBytes-1)))
		q.ContentLength = receiver.UncountedBytes - 1
		go func() { results <- receive(q) }()
	}
	ran := func() (n int) {
		for _, b := range all {
			b.mu.Lock()
			n += b.ran
			b.mu.Unlock()
		}
		return n
	}
	await(t, "all calls are at their endpoints", func() bool { return ran() == callers })
	n := int64(liveBytes()-before) / callers
	t.Logf("a call takes %d KiB with its caller and its endpoint", n>>10)
	if n < receiver.UncountedBytes || n > callBytes+otherBytes {
		t.Errorf("a call takes %d bytes with its caller and its endpoint, want its body and at most %d", n, callBytes+otherBytes)
	}
	close(release)
	for range callers {
		if got := <-results; !strings.HasPrefix(got, "200") {
			t.Fatalf("got %q", got)
		}
	}
}

package load

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/engine"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/service"
)

// The kinds of request.
const (
	kindChat = "chat"
	kindCall = "call"
	kindRead = "read"
)

// plan draws the requests of one kind of one account. The same seed gives the
// same requests at the same times.
type plan struct {
	account Account
	kind    string
	rate    float64
	r       *rand.Rand
	run     string
	n       int
}

// request is one planned request.
type request struct {
	kind, method, path string
	id                 string
	body               []byte
	streamed           bool
	// key is the field key of a booking and header its Idempotency-Key, which
	// may be empty.
	key, header string
}

// newPlan returns a plan. The run tells bookings of two runs with the same seed
// apart.
func newPlan(a Account, kind string, rate float64, seed uint64, run string) *plan {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(a.Name) + "/" + kind))
	return &plan{account: a, kind: kind, rate: rate, r: rand.New(rand.NewPCG(seed, h.Sum64())), run: run}
}

// pause returns the time from one request to the next: arrivals are random and
// independent of each other.
func (p *plan) pause() time.Duration {
	return time.Duration(p.r.ExpFloat64() / p.rate * float64(time.Second))
}

// next returns the next request.
func (p *plan) next(now time.Time) request {
	p.n++
	q := request{kind: p.kind, id: fmt.Sprintf("%s-%s-%s-%d", p.account.Name, p.kind, p.run, p.n), method: "POST"}
	prefix := p.account.Prefix
	if prefix == "" {
		prefix = service.DefaultPrefix
	}
	switch p.kind {
	case kindChat:
		q.path, q.streamed = "/v1/chat/completions", p.r.Float64() >= p.account.Unstreamed
		q.body = p.chat(q.streamed)
	case kindCall:
		q.path, q.key = prefix+"bookings", q.id
		q.body = encode(map[string]string{"key": q.key})
		if p.r.Float64() < p.account.Keyed {
			q.header = p.uuid(now)
		}
	default:
		q.method, q.path = "GET", fmt.Sprintf("%sitems/%d", prefix, p.r.IntN(1000))
	}
	return q
}

// chat returns a body whose prompt begins with one of the account's prefixes and
// is itself unlike all others.
func (p *plan) chat(streamed bool) []byte {
	k := p.r.IntN(max(1, p.account.Prompts))
	prefix := strings.Repeat(fmt.Sprintf("prompt %d of %s. ", k, p.account.Name), 16)
	n := p.account.MaxTokens
	if n == 0 {
		n = engine.DefaultTokens
	}
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	return encode(struct {
		Model     string    `json:"model"`
		Messages  []message `json:"messages"`
		MaxTokens int       `json:"max_tokens"`
		Stream    bool      `json:"stream"`
	}{string(p.account.Model), []message{{"user", fmt.Sprintf("%squestion %d", prefix, p.r.Uint64())}}, n, streamed})
}

// uuid returns a version 7 UUID at a time.
func (p *plan) uuid(now time.Time) string {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(now.UnixMilli())<<16|p.r.Uint64()&0x0fff|0x7000)
	binary.BigEndian.PutUint64(u[8:], p.r.Uint64()&(1<<62-1)|1<<63)
	return u.String()
}

// encode returns the JSON of a value that holds nothing that can fail.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

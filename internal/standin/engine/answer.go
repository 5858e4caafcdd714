package engine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cockroachdb/errors"
)

const (
	// MaxTokens is the highest max_tokens.
	MaxTokens = 8192
	// DefaultTokens stands where max_tokens is missing.
	DefaultTokens = 16
	maxMessages   = 1024
	// prefixBytes is the length of the prompt prefix that the cache tells apart.
	prefixBytes = 256
)

// Answer is the engine's answer to one request body at one version.
type Answer struct {
	// Model is the model that the request names.
	Model   string
	Version string
	// Stream tells that the request asks for server-sent events.
	Stream bool
	// Tokens are the pieces of the answer; one event carries one of them.
	Tokens []string
	// Prefix names the prompt prefix in load reports.
	Prefix string
}

// request holds the fields of an OpenAI-style request that the engine reads.
// Other fields are allowed, since callers send those of other engines.
type request struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// NewAnswer returns the answer to a request body at a version. It has exactly
// max_tokens tokens.
func NewAnswer(body []byte, version string) (Answer, error) {
	var q request
	if err := json.Unmarshal(body, &q); err != nil {
		return Answer{}, errors.Wrap(err, "body")
	}
	if q.MaxTokens == 0 {
		q.MaxTokens = DefaultTokens
	}
	switch {
	case q.Model == "":
		return Answer{}, errors.New("field model: a name is needed")
	case len(q.Messages) == 0 || len(q.Messages) > maxMessages:
		return Answer{}, errors.Newf("field messages: %d messages; 1 to %d are allowed", len(q.Messages), maxMessages)
	case q.MaxTokens < 1 || q.MaxTokens > MaxTokens:
		return Answer{}, errors.Newf("field max_tokens: %d is not in 1 to %d", q.MaxTokens, MaxTokens)
	}
	prompt := q.Messages[0].Content
	return Answer{
		Model: q.Model, Version: version, Stream: q.Stream,
		Tokens: tokens(body, version, q.MaxTokens),
		Prefix: PrefixOf(prompt),
	}, nil
}

// PrefixOf names the prefix of a prompt: the digest of its first 256 bytes.
func PrefixOf(prompt string) string {
	h := sha256.Sum256([]byte(prompt[:min(len(prompt), prefixBytes)]))
	return hex.EncodeToString(h[:8])
}

func tokens(body []byte, version string, n int) []string {
	words := [...]string{
		"the", "river", "gate", "opens", "at", "noon", "and", "closes", "by", "night", "water", "rises",
		"slowly", "over", "green", "fields", "boats", "wait", "near", "old", "bridge", "until", "wind", "turns",
	}
	h := sha256.New()
	_, _ = h.Write([]byte(version))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)
	s := h.Sum(nil)
	r := rand.New(rand.NewPCG(binary.BigEndian.Uint64(s), binary.BigEndian.Uint64(s[8:])))
	out := make([]string, n)
	for i := range out {
		out[i] = words[r.IntN(len(words))] + " "
	}
	return out
}

type choice struct {
	Index   int      `json:"index"`
	Delta   *content `json:"delta,omitempty"`
	Message *content `json:"message,omitempty"`
	Finish  string   `json:"finish_reason,omitempty"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type usage struct {
	Completion int `json:"completion_tokens"`
}

// Data returns the JSON of the event with sequence n.
func (a Answer) Data(id string, n int) []byte {
	return encode(completion{
		ID: id, Object: "chat.completion.chunk", Model: a.Model, Version: a.Version,
		Choices: []choice{{Delta: &content{Content: a.Tokens[n]}}},
	})
}

// Event returns the server-sent event with sequence n, with its empty line.
func (a Answer) Event(id string, n int) []byte {
	return fmt.Appendf(nil, "id: %s/%d\ndata: %s\n\n", id, n, a.Data(id, n))
}

// End returns the last event, which carries the number of tokens.
func (a Answer) End(id string) []byte {
	n := len(a.Tokens)
	return fmt.Appendf(nil, "event: end\nid: %s/%d\ndata: {\"count\":%d}\n\n", id, n, n)
}

// Whole returns the body of an answer that is not streamed.
func (a Answer) Whole(id string) []byte {
	return encode(completion{
		ID: id, Object: "chat.completion", Model: a.Model, Version: a.Version,
		Choices: []choice{{Message: &content{"assistant", strings.Join(a.Tokens, "")}, Finish: "stop"}},
		Usage:   &usage{len(a.Tokens)},
	})
}

// encode returns the JSON of a completion, which holds nothing that can fail.
func encode(c completion) []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return b
}

package load

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/engine"
)

// check compares an answer with what its engine has to send.
type check struct {
	// body is the request and ids the ids that its answer may carry.
	body []byte
	ids  []string
	// version is the one that the answer names; empty where it names none.
	version string
	// versions are the allowed ones; empty allows all.
	versions []string
	// seen is called at each event of the answer.
	seen func()
}

// stream checks a streamed answer to its end. An engine's events carry ids and
// close with an end event; a gateway's carry none and close with "[DONE]".
func (c check) stream(r io.Reader) verdict {
	v := newEvents(r)
	var a engine.Answer
	id, hop := "", false
	for n := 0; ; n++ {
		e, err := v.next()
		if err != nil {
			return verdict{Lost, "stream ended without its end event"}
		}
		if e.name == "error" {
			return verdict{Lost, "error event"}
		}
		if n == 0 {
			if a, err = c.answer(e.data); err != nil {
				return verdict{WrongVersion, err.Error()}
			}
			hop = e.id != ""
			if id = c.idOf(e, a); id == "" {
				return verdict{WrongContent, "answer to another request"}
			}
		}
		if n < len(a.Tokens) {
			if e != expected(id, n, hop, string(a.Data(id, n))) {
				return c.wrong(e, a)
			}
			c.seen()
			continue
		}
		end := event{data: "[DONE]"}
		if hop {
			end = event{"end", fmt.Sprintf("%s/%d", id, n), fmt.Sprintf(`{"count":%d}`, n)}
		}
		if e != end {
			return verdict{WrongContent, "wrong end event"}
		}
		if _, err := v.next(); err == nil {
			return verdict{WrongContent, "data after the end event"}
		}
		return verdict{Whole, ""}
	}
}

func expected(id string, n int, hop bool, data string) event {
	if !hop {
		return event{data: data}
	}
	return event{id: fmt.Sprintf("%s/%d", id, n), data: data}
}

// idOf returns the request id that the first event carries, or "" where it is
// none of the allowed ones.
func (c check) idOf(e event, a engine.Answer) string {
	for _, id := range c.ids {
		if e.id == id+"/0" || e.id == "" && len(a.Tokens) > 0 && e.data == string(a.Data(id, 0)) {
			return id
		}
	}
	return ""
}

// answer returns the right answer for the version that the response names.
func (c check) answer(data string) (engine.Answer, error) {
	version := c.version
	if version == "" {
		version = versionOf(data)
	}
	if len(c.versions) > 0 && !slices.Contains(c.versions, version) {
		return engine.Answer{}, errors.Newf("version %q is not allowed", version)
	}
	return engine.NewAnswer(c.body, version)
}

// wrong tells why an event differs from the right one.
func (c check) wrong(e event, a engine.Answer) verdict {
	switch {
	case e.name == "end":
		return verdict{WrongContent, "end event before the end"}
	case versionOf(e.data) != a.Version:
		return verdict{WrongVersion, "event of another version"}
	}
	id, n, _ := strings.Cut(e.id, "/")
	if !slices.Contains(c.ids, id) {
		return verdict{WrongContent, "event of another request"}
	}
	if _, err := strconv.Atoi(n); err != nil {
		return verdict{WrongContent, "event without a sequence"}
	}
	return verdict{WrongContent, "event out of order or changed"}
}

// whole checks an answer that is not streamed.
func (c check) whole(r io.Reader) verdict {
	b, err := io.ReadAll(r)
	if err != nil {
		return verdict{Lost, "answer is cut"}
	}
	a, err := c.answer(string(b))
	if err != nil {
		return verdict{WrongVersion, err.Error()}
	}
	for _, id := range c.ids {
		if string(a.Whole(id)) == strings.TrimSpace(string(b)) {
			return verdict{Whole, ""}
		}
	}
	if versionOf(string(b)) != a.Version {
		return verdict{WrongVersion, "answer of another version"}
	}
	return verdict{WrongContent, "answer is changed"}
}

func versionOf(data string) string {
	var v struct {
		Version string `json:"version"`
	}
	_ = json.Unmarshal([]byte(data), &v)
	return v.Version
}

// status classifies an error answer.
func status(r *http.Response) verdict {
	b, _ := io.ReadAll(io.LimitReader(r.Body, 4<<10))
	var v struct {
		Outcome string `json:"outcome"`
	}
	_ = json.Unmarshal(b, &v)
	reason := strings.TrimSpace(fmt.Sprintf("status %d %s", r.StatusCode, v.Outcome))
	// An answer with another outcome may have run, so its Retry-After does not
	// make it a refusal.
	if r.Header.Get("Retry-After") != "" && (v.Outcome == "" || v.Outcome == "not-run") {
		return verdict{Refused, reason}
	}
	return verdict{Failed, reason}
}

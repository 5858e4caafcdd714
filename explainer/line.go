package explainer

import (
	"strconv"
	"strings"
	"time"
)

// Pair is one field of a line.
type Pair struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a log.
type Line struct {
	// Time is when the process wrote the line, by its own clock.
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    string    `json:"event"`
	// Fields are the remaining pairs, in the order of the line.
	Fields []Pair `json:"fields"`
	// Background reports whether the line lacks the request's id.
	Background bool `json:"background"`
	// Note says in words what a field of the request's line means; empty if that is plain.
	Note string `json:"note,omitempty"`
}

// notes holds the words for fields that tell why a request waited, was refused or went to an endpoint. The
// first one counts.
var notes = []struct{ key, words string }{
	{"reserved-elsewhere", "slots were free, but left to more urgent requests that waited at other gateways"},
	{"reserved", "slots were free, but kept for more urgent requests of this gateway"},
	{"half-open", "an attempt went to an endpoint that had failed, to find out whether it serves again"},
}

// note returns the words for the line; "" if there are none.
func (l *Line) note() string {
	for _, n := range notes {
		if l.Field(n.key) == "true" {
			return n.words
		}
	}
	return ""
}

// Field returns the value of the first field with the key, or "" if there is none.
func (l *Line) Field(key string) string {
	for _, p := range l.Fields {
		if p.Key == key {
			return p.Value
		}
	}
	return ""
}

// Parse parses a log line. It returns false if the text is not a log line. Text
// before the time, such as a log collector's prefix, is ignored.
func Parse(s string) (Line, bool) {
	i := strings.Index(s, "time=")
	if i < 0 {
		return Line{}, false
	}
	var l Line
	for s = s[i:]; s != ""; {
		k, v, rest, ok := cutPair(s)
		if !ok {
			return Line{}, false
		}
		s = rest
		switch k {
		case "time":
			t, err := time.Parse(time.RFC3339Nano, v)
			if err != nil {
				return Line{}, false
			}
			l.Time = t
		case "instance":
			l.Instance = v
		case "event":
			l.Event = v
		default:
			l.Fields = append(l.Fields, Pair{k, v})
		}
	}
	return l, l.Event != ""
}

// cutPair splits the first pair from the rest of a line; a value with spaces is
// quoted.
func cutPair(s string) (key, value, rest string, ok bool) {
	key, s, ok = strings.Cut(s, "=")
	if !ok || key == "" || strings.ContainsAny(key, " \"") {
		return "", "", "", false
	}
	if strings.HasPrefix(s, `"`) {
		q, err := strconv.QuotedPrefix(s)
		if err != nil {
			return "", "", "", false
		}
		if value, err = strconv.Unquote(q); err != nil {
			return "", "", "", false
		}
		return key, value, strings.TrimLeft(s[len(q):], " \n"), true
	}
	value, rest, _ = strings.Cut(s, " ")
	return key, strings.TrimRight(value, "\n"), strings.TrimLeft(rest, " \n"), true
}

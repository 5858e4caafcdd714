package load

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// maxLine bounds a line of an event stream in bytes.
const maxLine = 1 << 20

// event is one server-sent event.
type event struct {
	name, id, data string
}

// events reads server-sent events.
type events struct {
	s *bufio.Scanner
}

func newEvents(r io.Reader) *events {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4<<10), maxLine)
	return &events{s}
}

// next returns the next event. An event without its empty line is cut and gives
// io.ErrUnexpectedEOF.
func (v *events) next() (event, error) {
	var e event
	begun := false
	for v.s.Scan() {
		line := v.s.Text()
		if line == "" {
			if begun {
				return e, nil
			}
			continue
		}
		if strings.HasPrefix(line, ":") {
			continue
		}
		begun = true
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			e.name = value
		case "id":
			e.id = value
		case "data":
			e.data += value
		default:
			return e, errors.Newf("field %q of an event is not known", field)
		}
	}
	switch {
	case v.s.Err() != nil:
		return e, v.s.Err()
	case begun:
		return e, io.ErrUnexpectedEOF
	}
	return e, io.EOF
}

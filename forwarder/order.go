package forwarder

import (
	"bytes"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// eventFields are the fields of an event that matter for its place in the stream.
type eventFields struct {
	// id is empty if the event has none.
	id      string
	hasData bool
	// hasContent reports whether the event has any line but comments and retry times.
	hasContent bool
}

// add adds a line of the event.
func (f *eventFields) add(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "", "retry":
		return
	case "id":
		f.id = string(bytes.TrimSpace(value))
	case "data":
		f.hasData = true
	}
	f.hasContent = true
}

// streamOrder checks that the events of one attempt go on after those that the caller has.
type streamOrder struct {
	resumable bool
	// last is the id of the last event that the caller has.
	last string
	// continues reports whether the attempt may end the stream and add events without ids:
	// it is the first one, or an event of it has followed the caller's last one.
	continues bool
}

func (a *attempt) streamOrder() *streamOrder {
	return &streamOrder{resumable: a.call.match.Route.Repeat == resolver.Resumable, last: a.resumeFrom, continues: !a.begun}
}

// check returns an error if the event must not follow the caller's last one.
func (o *streamOrder) check(f eventFields) error {
	switch {
	case !o.resumable || !f.hasContent:
		return nil
	case f.id == "" && !o.continues:
		return errors.New("resumed stream begins with an event without an id")
	case f.id != "" && !follows(f.id, o.last):
		return errors.Newf("event %q doesn't follow", f.id)
	}
	return nil
}

// add records that the caller has received the event.
func (o *streamOrder) add(f eventFields) {
	o.continues = o.continues || f.hasContent
	if f.id != "" {
		o.last = f.id
	}
}

// follows reports whether an event with this id may follow the event with the id last. Ids
// that aren't numbers only have to differ.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, e := strconv.ParseUint(last, 10, 64)
	if err != nil || e != nil {
		return id != last
	}
	return n > m
}

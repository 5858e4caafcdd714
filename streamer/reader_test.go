package streamer_test

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/streamer"
)

// readAll returns the frames of a stream, one per line, and how the stream
// ended.
func readAll(r *streamer.Reader) string {
	var out strings.Builder
	for {
		f, err := r.Next()
		switch {
		case errors.Is(err, io.EOF):
			fmt.Fprintf(&out, "complete, position %d\n", r.Position())
			return out.String()
		case err != nil:
			fmt.Fprintf(&out, "%v at position %d: %v\n", streamer.FaultOf(err), r.Position(), err)
			return out.String()
		case f.End:
			fmt.Fprintf(&out, "end %s/%d count %d\n", f.Request, f.Sequence, f.Count)
		default:
			fmt.Fprintf(&out, "%s/%d %s\n", f.Request, f.Sequence, f.Data)
		}
	}
}

// A stream that is reported as complete although a frame was lost, duplicated,
// reordered or taken from another request gives the caller a wrong response.
// Each input is read at once and byte by byte.
func TestReaderFaults(t *testing.T) {
	datadriven.RunTest(t, "testdata/reader", func(t *testing.T, d *datadriven.TestData) string {
		read := func(wrap func(io.Reader) io.Reader) string {
			r := &streamer.Reader{}
			for _, a := range d.CmdArgs {
				switch a.Key {
				case "request":
					r.Request = a.Vals[0]
				case "from":
					a.Scan(t, 0, &r.From)
				case "window":
					a.Scan(t, 0, &r.Window)
				case "max-line":
					a.Scan(t, 0, &r.MaxLine)
				case "max-event":
					a.Scan(t, 0, &r.MaxEvent)
				}
			}
			in := strings.ReplaceAll(d.Input, `\r`, "\r") + "\n"
			if d.Cmd == "read" { // read-inside leaves the last event without its blank line.
				in += "\n"
			}
			r.In = wrap(strings.NewReader(in))
			return readAll(r)
		}
		atOnce := read(func(r io.Reader) io.Reader { return r })
		if byteByByte := read(iotest.OneByteReader); byteByByte != atOnce {
			d.Fatalf(t, "read byte by byte:\n%s\nread at once:\n%s", byteByByte, atOnce)
		}
		return atOnce
	})
}

// Guards against unfinished events that a process keeps without counting them. Small frames ask
// for no room, so that faulty streams never end sound ones.
func TestReaderReserves(t *testing.T) {
	frame := func(sequence, size int) string {
		return fmt.Sprintf("id: a/%d\ndata: {\"x\":\"%s\"}\n\n", sequence, strings.Repeat("x", size))
	}
	for _, c := range []struct {
		name, in string
		room     int64
		least    int64
		end      string
	}{
		{"small frames", frame(0, 4000) + frame(1, 4000) + "event: end\nid: a/2\ndata: {\"count\":2}\n\n", 0, 0, "complete"},
		{"a large line", frame(0, 50_000), 1 << 20, 50_000, "cut"},
		{"a large line without room", frame(0, 50_000), 1 << 10, 0, "oversized"},
		{"an event of many lines", "id: a/0\n" + strings.Repeat("data: "+strings.Repeat(" ", 900)+"\n", 200), 1 << 20, 180_000, "cut"},
		{"early frames", frame(1, 15_000) + frame(2, 15_000) + frame(3, 15_000), 1 << 20, 45_000, "gap"},
		{"early frames without room", frame(1, 15_000) + frame(2, 15_000) + frame(3, 15_000), 40_000, 0, "oversized"},
	} {
		left := c.room
		r := &streamer.Reader{In: strings.NewReader(c.in), Reserve: func(n int64) bool {
			if n > left {
				return false
			}
			left -= n
			return true
		}}
		got := readAll(r)
		got = got[strings.LastIndexByte(strings.TrimSuffix(got, "\n"), '\n')+1:]
		if !strings.HasPrefix(got, c.end) || c.room-left < c.least {
			t.Errorf("%s: %d bytes reserved, want %d: %s", c.name, c.room-left, c.least, got)
		}
	}
}

// FuzzReader guards against input that makes the reader panic, return frames
// out of order, or report an unverified stream as complete.
func FuzzReader(f *testing.F) {
	f.Add([]byte("id: a/0\ndata: {}\n\nevent: end\nid: a/1\ndata: {\"count\":1}\n\n"), uint64(0), 0)
	f.Add([]byte("id: a/1\ndata: {}\n\nid: a/0\ndata: {\ndata: }\n\nevent: end\nid: a/2\ndata: {\"count\":2}\n\n"), uint64(0), 2)
	f.Add([]byte(": note\r\nevent: error\r\ndata: {}\r\n\r\n"), uint64(3), -1)
	f.Fuzz(func(t *testing.T, in []byte, from uint64, window int) {
		r := &streamer.Reader{In: bytes.NewReader(in), From: from % 1e6, MaxLine: 1 << 10, MaxEvent: 2 << 10, Window: window % 64}
		next, ended := r.From, false
		out := newResponseRecorder()
		w := &streamer.Writer{Out: out, From: r.From}
		var want []string
		for {
			g, err := r.Next()
			if errors.Is(err, io.EOF) {
				if !ended {
					t.Fatal("complete without an end frame")
				}
				break
			}
			if err != nil {
				if ended || streamer.FaultOf(err) == 0 {
					t.Fatalf("after end %v: %v", ended, err)
				}
				return
			}
			if g.Request != r.Request || g.Sequence != next || ended || (g.End && g.Count != next) {
				t.Fatalf("frame %+v in place of %d", g, next)
			}
			ended = g.End
			if !g.End {
				next++
			}
			want = append(want, fmt.Sprintf("%+v", g))
			if err := w.Frame(g); err != nil {
				t.Fatalf("write: %v", err)
			}
		}
		again := &streamer.Reader{In: &out.body, From: r.From, Request: r.Request}
		for _, line := range want {
			if g, err := again.Next(); err != nil || fmt.Sprintf("%+v", g) != line {
				t.Fatalf("read back %+v, %v in place of %s", g, err, line)
			}
		}
	})
}

func BenchmarkReader(b *testing.B) {
	const frames = 512
	var in bytes.Buffer
	for i := range frames {
		fmt.Fprintf(&in, "id: 01890a5d-ac96-774b-bcce-b302099a8057/%d\ndata: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"token \"}}]}\n\n", i)
	}
	fmt.Fprintf(&in, "event: end\nid: 01890a5d-ac96-774b-bcce-b302099a8057/%d\ndata: {\"count\":%d}\n\n", frames, frames)
	b.ReportAllocs()
	b.SetBytes(int64(in.Len()) / frames)
	for n := 0; n < b.N; n += frames {
		r := &streamer.Reader{In: bytes.NewReader(in.Bytes())}
		for {
			if _, err := r.Next(); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				b.Fatal(err)
			}
		}
	}
}

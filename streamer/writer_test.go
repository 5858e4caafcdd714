package streamer_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/streamer"
)

// responseRecorder is a response writer that counts flushes and can fail.
type responseRecorder struct {
	header  http.Header
	body    bytes.Buffer
	flushes int
	err     error
}

func newResponseRecorder() *responseRecorder { return &responseRecorder{header: http.Header{}} }

func (r *responseRecorder) Header() http.Header { return r.header }
func (r *responseRecorder) WriteHeader(int)     {}
func (r *responseRecorder) Flush()              { r.flushes++ }
func (r *responseRecorder) Write(b []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	return r.body.Write(b)
}

const completeStream = "id: a/0\ndata: {\"t\":1}\n\nid: a/1\ndata: {\"t\":2}\n\nevent: end\nid: a/2\ndata: {\"count\":2}\n\n"

var _ = Describe("Writer", func() {
	copyOf := func(in string, form streamer.Form) (*responseRecorder, *streamer.Writer, error) {
		out := newResponseRecorder()
		w := &streamer.Writer{Out: out, Form: form}
		return out, w, streamer.Copy(w, &streamer.Reader{In: strings.NewReader(in), Request: "a"})
	}

	// A hop that changes frames makes the next reader detect a gap.
	It("passes frames on unchanged between processes", func() {
		out, _, err := copyOf(completeStream, streamer.Hop)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.body.String()).To(Equal(completeStream))
		Expect(out.flushes).To(Equal(3))
		Expect(out.header.Get("Content-Type")).To(Equal("text/event-stream"))
	})

	// Callers treat [DONE] as the proof of a complete response.
	It("closes the caller's stream only after a verified end", func() {
		out, _, err := copyOf(completeStream, streamer.Caller)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.body.String()).To(Equal("data: {\"t\":1}\n\ndata: {\"t\":2}\n\ndata: [DONE]\n\n"))

		out, w, err := copyOf(strings.Split(completeStream, "event")[0], streamer.Caller)
		Expect(streamer.FaultOf(err)).To(Equal(streamer.Cut))
		Expect(w.Fail([]byte("{\"title\":\"cut\",\n\"outcome\":\"unknown\"}"))).To(Succeed())
		Expect(out.body.String()).To(HaveSuffix("event: error\ndata: {\"title\":\"cut\",\"outcome\":\"unknown\"}\n\n"))
		Expect(out.body.String()).NotTo(ContainSubstring("DONE"))
		Expect(streamer.FaultOf(w.Fail([]byte("{}")))).To(Equal(streamer.Malformed))
	})

	// A stream that is resumed on another endpoint must not repeat or lose a
	// frame.
	It("continues without a gap after a resumption", func() {
		out := newResponseRecorder()
		w := &streamer.Writer{Out: out, Form: streamer.Hop}
		first := &streamer.Reader{In: strings.NewReader(completeStream[:30]), Request: "a"}
		Expect(streamer.FaultOf(streamer.Copy(w, first))).To(Equal(streamer.Cut))
		second := &streamer.Reader{In: strings.NewReader(completeStream), Request: "a", From: first.Position()}
		Expect(streamer.Copy(w, second)).To(Succeed())
		Expect(out.body.String()).To(Equal(completeStream))
	})

	// A process that mixes up the frames of two streams gives a caller parts of
	// another response.
	DescribeTable("refuses", func(f streamer.Frame, want streamer.Fault) {
		out := newResponseRecorder()
		w := &streamer.Writer{Out: out, Request: "a", Form: streamer.Caller}
		Expect(w.Frame(streamer.Frame{Request: "a", Data: []byte("{}")})).To(Succeed())
		Expect(streamer.FaultOf(w.Frame(f))).To(Equal(want))
		Expect(out.body.String()).To(Equal("data: {}\n\n"))
	},
		Entry("a gap", streamer.Frame{Request: "a", Sequence: 2, Data: []byte("{}")}, streamer.Gap),
		Entry("a repeat", streamer.Frame{Request: "a", Sequence: 0, Data: []byte("{}")}, streamer.Gap),
		Entry("another request", streamer.Frame{Request: "b", Sequence: 1, Data: []byte("{}")}, streamer.Foreign),
		Entry("a wrong count", streamer.Frame{Request: "a", Sequence: 1, End: true, Count: 2}, streamer.Gap),
		Entry("no data", streamer.Frame{Request: "a", Sequence: 1}, streamer.Malformed),
	)

	// A caller that disconnected must not be mistaken for a fault of the engine,
	// after which the stream would be resumed.
	It("distinguishes a disconnected caller from a fault of the stream", func() {
		out := newResponseRecorder()
		out.err = errors.New("broken pipe")
		err := streamer.Copy(&streamer.Writer{Out: out}, &streamer.Reader{In: strings.NewReader(completeStream)})
		Expect(streamer.FaultOf(err)).To(Equal(streamer.Unwritable))
	})
})

func BenchmarkWriter(b *testing.B) {
	out := newResponseRecorder()
	w := &streamer.Writer{Out: out, Request: "01890a5d-ac96-774b-bcce-b302099a8057"}
	data := []byte(`{"choices":[{"index":0,"delta":{"content":"token "}}]}`)
	b.ReportAllocs()
	for i := range b.N {
		out.body.Reset()
		if err := w.Frame(streamer.Frame{Request: w.Request, Sequence: uint64(i), Data: data}); err != nil {
			b.Fatal(err)
		}
	}
}

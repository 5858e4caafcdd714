package platformlog_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/platformlog"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/scripter"
)

// A stand-in that answers differently from the platform hides faults of its clients.
func TestContract(t *testing.T) {
	scripter.Run(t, "testdata/contract", func() http.Handler {
		return &platformlog.Log{KeepCount: 4, KeepFor: time.Minute, AppendsPerSecond: 50}
	})
}

var _ = Describe("Log", func() {
	// A client that takes a lost answer for a refusal would append twice.
	DescribeTable("is seen through connector", func(f platformlog.Faults, kind classifier.Kind, records uint64) {
		l := new(platformlog.Log)
		s := httptest.NewServer(l)
		defer s.Close()
		c := connector.NewLog(s.URL, s.Client())
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		l.SetFaults(f)
		_, err := c.Append(ctx, "a", [][]byte{{1}, {2}})
		Expect(err).To(HaveOccurred())
		Expect(classifier.Of(err)).To(Equal(kind))
		Expect(l.Stats().Records).To(Equal(records))
	},
		Entry("refusing", platformlog.Faults{Outage: standin.Refuse}, classifier.Unavailable, uint64(0)),
		Entry("hanging", platformlog.Faults{Outage: standin.Hang}, classifier.OutcomeUnknown, uint64(0)),
		Entry("dropping", platformlog.Faults{Outage: standin.Drop}, classifier.OutcomeUnknown, uint64(0)),
		Entry("losing an answer", platformlog.Faults{LoseAppends: standin.Chance{Count: 1}}, classifier.OutcomeUnknown, uint64(2)),
	)

	It("reports the oldest offset of a read below it", func() {
		s := httptest.NewServer(&platformlog.Log{KeepCount: 1})
		defer s.Close()
		c := connector.NewLog(s.URL, s.Client())
		Expect(c.Append(context.Background(), "a", [][]byte{{1}, {2}})).To(Equal(uint64(1)))
		_, err := c.Read(context.Background(), "a", 1, 10, 0)
		Expect(err).To(MatchError(ContainSubstring("oldest")))
		Expect(err).To(HaveField("First", uint64(2)))
	})

	// Guards against a stand-in that keeps what a store loses that returns from an older copy.
	It("gives offsets out again after its return from an older copy", func() {
		now := time.Now()
		l := &platformlog.Log{Now: func() time.Time { return now }}
		s := httptest.NewServer(l)
		defer s.Close()
		c := connector.NewLog(s.URL, s.Client())
		ctx := context.Background()
		Expect(c.Append(ctx, "a", [][]byte{{1}, {2}})).To(Equal(uint64(1)))
		now = now.Add(5 * time.Second)
		Expect(c.Append(ctx, "a", [][]byte{{3}})).To(Equal(uint64(3)))
		l.Restore(2 * time.Second)
		b, err := c.Read(ctx, "a", 1, 10, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(b.Epoch).To(Equal(uint64(2)))
		Expect(b.Entries).To(HaveLen(2))
		Expect(c.Append(ctx, "a", [][]byte{{4}})).To(Equal(uint64(3)))
	})
})

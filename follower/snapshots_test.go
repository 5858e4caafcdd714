package follower_test

import (
	"context"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

var _ = Describe("Snapshots", func() {
	// Guards against reading the whole stream on every call: the cost, at every
	// gateway, would grow with each snapshot that the log retains.
	It("reads each record of the stream once", func() {
		var stream [][]byte
		s := new(registrar.State)
		write := func() {
			s, _ = s.Apply(s.Offset+1, recorder.Record{Operation: uuid.New(), Author: "anna", Changes: []recorder.Change{
				{Kind: recorder.DrainEndpoint, Object: "agent-1"},
			}})
			p, err := follower.Split(s)
			Expect(err).NotTo(HaveOccurred())
			stream = append(stream, p...)
		}
		read := 0
		l := &connector.Log{Read: func(_ context.Context, _ string, from uint64, _ int, _ time.Duration) (connector.Batch, error) {
			b := connector.Batch{First: 1, Next: uint64(len(stream)) + 1}
			for i := from; i <= uint64(len(stream)); i++ {
				b.Entries = append(b.Entries, connector.Entry{Offset: i, Body: stream[i-1]})
				read++
			}
			return b, nil
		}}
		var n follower.SnapshotReader
		for i := range 100 {
			write()
			v, err := n.Newest(context.Background(), l)
			Expect(err).NotTo(HaveOccurred())
			Expect(v.Offset).To(BeEquivalentTo(i + 1))
		}
		Expect(read).To(Equal(100))
		v, err := n.Newest(context.Background(), l)
		Expect(err).NotTo(HaveOccurred())
		Expect(v.Offset).To(BeEquivalentTo(100))
	})
})

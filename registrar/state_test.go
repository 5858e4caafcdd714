package registrar_test

import (
	"encoding/binary"
	"strings"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

func operationID(n uint64) recorder.OperationID {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[8:], n)
	return id
}

var _ = Describe("State", func() {
	// An outcome that is dropped within a day lets a repeated operation apply
	// twice; outcomes that are never dropped fill the memory of a small node.
	It("keeps the latest 4096 outcomes and not many more", func() {
		s := new(registrar.State)
		for n := uint64(1); n <= 6000; n++ {
			s, _ = s.Apply(n, recorder.Record{Operation: operationID(n), Author: "anna", Changes: []recorder.Change{
				{Kind: recorder.TakeDomainOut, Object: "tanta"},
			}})
		}
		o, known := s.Operation(operationID(6000 - 4095))
		Expect(known).To(BeTrue())
		Expect(o.Kind).To(Equal(classifier.NotFound))
		_, known = s.Operation(operationID(1))
		Expect(known).To(BeFalse())
	})

	// A snapshot that no sequence of records produces would stop a gateway at a
	// later record.
	DescribeTable("refuses to restore", func(snapshot, message string) {
		_, err := registrar.Restore([]byte(snapshot))
		Expect(err).To(MatchError(ContainSubstring(message)))
	},
		Entry("a newer format", `{"format":2,"state":{"offset":1}}`, "format 2"),
		Entry("no state", `{"format":1}`, "field state"),
		Entry("an unknown field", `{"format":1,"state":{"offset":1,"leader":"x"}}`, "leader"),
		Entry("a null object", `{"format":1,"state":{"offset":1,"operators":{"a":null}}}`, "null"),
		Entry("an active rollout without its model", strings.ReplaceAll(
			`{"format":1,"state":{"offset":1,"rollouts":{"r":{"name":"r","model":"m","version":"v","phase":"running",
			"max-out":1,"lease":"1s","step":0,"revision":1,"target-at":1,"by":"a","last-by":"a","granted":0,"succeeded":0,"failed":0}}}}`,
			"\n", ""), "does not agree"),
	)
})

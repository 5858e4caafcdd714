package recorder_test

import (
	"bytes"
	"strings"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

var _ = Describe("Record", func() {
	r := recorder.Record{
		Format: recorder.Format, Operation: uuid.MustParse("01890a5d-ac96-774b-bcce-b302099a8057"), Author: "anna",
		Changes: []recorder.Change{{Kind: recorder.TakeDomainOut, Object: "tanta", Reason: "power work"}},
	}

	// Guards against a record that changes when it is encoded and decoded, so that
	// readers of the log disagree about it.
	It("decodes to the record that was encoded", func() {
		b, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(recorder.Decode(b)).To(Equal(r))
	})

	// Guards against a reader that ignores an unknown field and so applies only part
	// of a change.
	DescribeTable("rejects", func(old, changed, message string) {
		b, err := r.Encode()
		Expect(err).NotTo(HaveOccurred())
		_, err = recorder.Decode([]byte(strings.Replace(string(b), old, changed, 1)))
		Expect(err).To(MatchError(ContainSubstring(message)))
		Expect(classifier.Of(err)).NotTo(Equal(classifier.Internal))
	},
		Entry("an unknown field", `"author"`, `"urgent":true,"author"`, "urgent"),
		Entry("an unknown kind", "take-domain-out", "burn-domain", "field kind"),
		Entry("a newer format", `"format":1`, `"format":2`, "newer format"),
		Entry("a bad name", "tanta", "Tanta!", "field object"),
		Entry("a missing value", "take-domain-out", "put-model", "missing"),
		Entry("a zero operation", "01890a5d-ac96-774b-bcce-b302099a8057", uuid.Nil.String(), "field operation"),
	)
})

var _ = Describe("Manifest", func() {
	// Guards against a manifest that can be replaced by another one, which would mix
	// the chunks of different versions.
	It("is rejected if its encoding doesn't match its digest", func() {
		m, err := recorder.NewManifest(bytes.NewReader(make([]byte, 10_000)), recorder.MinChunkSize,
			func(recorder.Digest, []byte) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(m.Chunks).To(HaveLen(3))
		Expect(m.ChunkLen(2)).To(Equal(int64(10_000 - 2*recorder.MinChunkSize)))
		b, d, err := m.Encode()
		Expect(err).NotTo(HaveOccurred())
		Expect(recorder.DecodeManifest(b, d)).To(Equal(m))
		b[10]++
		_, err = recorder.DecodeManifest(b, d)
		Expect(err).To(MatchError(ContainSubstring("digest")))
	})
})

var _ = Describe("Declaration", func() {
	// Guards against a misspelt field that is silently ignored and leaves a limit unset.
	It("rejects unknown fields and names them", func() {
		_, err := recorder.ParseDeclaration([]byte("failure-domains:\n- name: tanta\n  regoin: delta\n"))
		Expect(err).To(MatchError(ContainSubstring("regoin")))
	})

	It("reads YAML", func() {
		d, err := recorder.ParseDeclaration([]byte("failure-domains:\n- name: tanta\n  region: delta\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(d.Changes()).To(HaveLen(1))
	})
})

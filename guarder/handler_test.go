package guarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/guarder"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

var _ = Describe("Handler", func() {
	var p *process
	net := &network{}
	get := func(path string) (int, string) {
		s := httptest.NewServer(p.Handler())
		defer s.Close()
		r, err := http.Get(s.URL + path)
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = r.Body.Close() }()
		b, err := io.ReadAll(r.Body)
		Expect(err).NotTo(HaveOccurred())
		return r.StatusCode, string(b)
	}
	c := callOf("k", "x")
	key := c.Digest().String()
	const operation = "00000000-0000-0000-0000-000000000001"

	BeforeEach(func() {
		p = start(newFakeLog(), net, 0, "a1", func(g *guarder.Guard) {
			g.NewOperation = func() recorder.OperationID { return recorder.OperationID{15: 1} }
		})
		DeferCleanup(func() { p.kill(net) })
		Eventually(p.Ready).Should(BeTrue())
		_, err := p.Do(context.Background(), c, func(context.Context) (guarder.Answer, error) {
			return guarder.Answer{Status: 201, Body: []byte("done")}, nil
		})
		Expect(err).NotTo(HaveOccurred())
	})

	It("returns the answer of the first run", func() {
		status, body := get("/v1/intents/" + key + "?operation=" + operation + "&boot-id=a1")
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(MatchJSON(`{"boot-id":"a1","operation":"` + operation + `","state":"done","answer":{"status":201,"body":"ZG9uZQ=="}}`))
	})

	// A response "not-run" for a process or operation that is not known here would
	// let another agent run the call a second time.
	DescribeTable("returns unknown for", func(path string) {
		status, body := get("/v1/intents/" + path)
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(ContainSubstring(`"state":"unknown"`))
	},
		Entry("another boot id", key+"?operation="+operation+"&boot-id=a0"),
		Entry("another operation", key+"?operation=00000000-0000-0000-0000-000000000002&boot-id=a1"),
		Entry("another key", callDigest("k2")+"?operation="+operation+"&boot-id=a1"),
	)

	DescribeTable("rejects", func(path string) {
		status, _ := get("/v1/intents/" + path)
		Expect(status).To(Equal(http.StatusBadRequest))
	},
		Entry("a malformed digest", "xyz?operation="+operation+"&boot-id=a1"),
		Entry("a malformed operation", key+"?operation=1&boot-id=a1"),
	)
})

func callDigest(key string) string {
	c := callOf(key, "x")
	return c.Digest().String()
}

package main

import (
	"bytes"
	"context"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/follower"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
	"github.com/eelgrassdrift/eelgrassdrift/registrar"
)

var _ = Describe("measure", func() {
	// A column read from the wrong place of /proc would make every figure wrong.
	It("reads the numbers of a file and refuses one without any", func() {
		p := filepath.Join(GinkgoT().TempDir(), "io")
		Expect(os.WriteFile(p, []byte("rchar: 12\nwchar: 345\n"), 0o600)).To(Succeed())
		Expect(fields(p)).To(Equal([]int64{12, 345}))
		Expect(os.WriteFile(p, []byte("rchar:\n"), 0o600)).To(Succeed())
		_, err := fields(p)
		Expect(err).To(HaveOccurred())
	})

	// Another line of the file would give the size of the address space.
	It("reads the largest resident memory", func() {
		Expect(peakOf("Name:\tx\nVmPeak:\t  900 kB\nVmHWM:\t   17 kB\nVmRSS:\t 12 kB\n")).To(Equal(int64(17 << 10)))
		Expect(peakOf("Name:\tx\n")).To(BeZero())
	})

	// Bytes that pass in one way only would make a command look free.
	It("counts both ways of a link", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		u, err := serve(ctx, http.NotFoundHandler(), nil)
		Expect(err).NotTo(HaveOccurred())
		var t traffic
		a, err := countedLink(ctx, netip.MustParseAddrPort(strings.TrimPrefix(u, "http://")), &t)
		Expect(err).NotTo(HaveOccurred())
		r, err := http.Get("http://" + a.String())
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Body.Close()).To(Succeed())
		Expect(r.StatusCode).To(Equal(http.StatusNotFound))
		Expect(t.in.Load()).To(BeNumerically(">", 0))
		// The bytes of the response are counted after they are written.
		Eventually(t.out.Load).WithTimeout(10 * time.Second).Should(BeNumerically(">", 0))
	})

	// A change that one agent lacks must not count as applied everywhere.
	It("notes an offset as arrived when the last agent has it", func() {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		a := &arrivals{agents: 2, count: make(map[uint64]int), last: make(map[uint64]time.Time)}
		r := []*follower.Replica{{}, {}}
		for _, v := range r {
			go a.follow(ctx, v)
		}
		arrived := func() bool {
			_, ok := a.at(1)
			return ok
		}
		Expect(r[0].Apply(1, []byte("{}"))).To(Succeed())
		Consistently(arrived).WithTimeout(50 * time.Millisecond).Should(BeFalse())
		Expect(r[1].Apply(1, []byte("{}"))).To(Succeed())
		Eventually(arrived).Should(BeTrue())
	})

	// A rejected grant counted as a grant would hide appends that had no effect.
	It("counts a rejected grant apart", func() {
		grant := func(holder recorder.Name) recorder.Record {
			return recorder.Record{Format: recorder.Format, Operation: uuid.New(), Author: holder, At: time.Now(), Changes: []recorder.Change{
				{Kind: recorder.TakeGrant, Grant: &recorder.Grant{Holder: holder, FailureDomain: domainName, Rollout: "none", Version: "v1", Lease: recorder.Duration(time.Minute)}},
			}}
		}
		r := grant("a")
		s, _ := new(registrar.State).Apply(1, r)
		var k counts
		k.add(s, r)
		k.add(s, grant("b"))
		Expect(k).To(Equal(counts{records: 2, rejected: 1, grants: 1}))
	})

	// A record that the recorder refuses would leave a gap in the sums of the log.
	It("prints the sizes of all records", func() {
		var out bytes.Buffer
		Expect(measureRecords(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("grant"))
	})
})

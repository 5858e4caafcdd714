package e2e_test

import (
	"bytes"
	"context"
	"crypto/rand"
	"net/http"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	operatorv1 "github.com/eelgrassdrift/eelgrassdrift/api/operator/v1"
	"github.com/eelgrassdrift/eelgrassdrift/authenticator"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// operator returns a client of a gateway's operator API with its context.
func (c *cluster) operator(i int) (operatorv1.OperatorServiceClient, context.Context) {
	GinkgoHelper()
	g, err := grpc.NewClient("passthrough:///"+c.gateways[i].operators, grpc.WithTransportCredentials(authenticator.Credentials(c.tls.client(false))))
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(g.Close)
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	DeferCleanup(stop)
	return operatorv1.NewOperatorServiceClient(g), metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+operatorKey)
}

func operation() *operatorv1.Operation { return &operatorv1.Operation{Id: uuid.NewString()} }

// publish stores the weights of a version at the origin and returns it.
func (c *cluster) publish(name string) recorder.Version {
	GinkgoHelper()
	o := connector.NewOrigin(c.store, http.DefaultClient)
	put := func(d recorder.Digest, b []byte) error { return o.Store(context.Background(), d, b) }
	w := make([]byte, c.layout.weights)
	_, _ = rand.Read(w)
	m, err := recorder.NewManifest(bytes.NewReader(w), 256<<10, put)
	Expect(err).NotTo(HaveOccurred())
	b, d, err := m.Encode()
	Expect(err).NotTo(HaveOccurred())
	Expect(put(d, b)).To(Succeed())
	return recorder.Version{Model: "assistant", Name: recorder.Name(name), Manifest: d, Digest: m.Digest, Size: m.Size}
}

// declare applies the objects that every test needs and starts a rollout of v.
func (c *cluster) declare(v recorder.Version) {
	GinkgoHelper()
	d := c.layout.extra
	domains := make(map[string]bool)
	for _, p := range append(append(append([]place{}, c.layout.gateways...), c.layout.engines...), c.layout.services...) {
		if !domains[p.domain] {
			domains[p.domain] = true
			d.FailureDomains = append(d.FailureDomains, recorder.FailureDomain{Name: recorder.Name(p.domain), Region: recorder.Name(p.region)})
		}
	}
	d.Operators = append(d.Operators, recorder.OperatorAccount{Name: "anna", KeyDigests: []recorder.Digest{recorder.DigestOf([]byte(operatorKey))}})
	d.ClientAccounts = append(d.ClientAccounts, recorder.ClientAccount{
		Name: "members", KeyDigests: []recorder.Digest{recorder.DigestOf([]byte(callerKey))},
		RequestsPerSecond: 10_000, Burst: 10_000, Concurrency: 10_000, Weight: 10,
	})
	d.Services = append(d.Services, recorder.Service{
		Name: "booking", Prefix: "/booking/", Timeout: recorder.Duration(10 * time.Second), KeyWindow: recorder.Duration(time.Hour),
	})
	if v.Name != "" {
		m := c.layout.model
		m.Name = "assistant"
		if m.OrderTimeout == 0 {
			m.OrderTimeout = recorder.Duration(30 * time.Second)
		}
		d.Models = append(d.Models, m)
		d.Versions = append(d.Versions, v)
		d.Rollouts = append(d.Rollouts, rollout("first", v))
	}
	c.apply(&d)
}

func rollout(name string, v recorder.Version) recorder.Rollout {
	return recorder.Rollout{Name: recorder.Name(name), Model: v.Model, Version: v.Name, MaxOut: 1, Lease: recorder.Duration(20 * time.Second)}
}

// declareServices applies the objects of a test without a model.
func (c *cluster) declareServices() { c.declare(recorder.Version{}) }

// apply applies a declaration at the first gateway and expects that it is accepted.
func (c *cluster) apply(d *recorder.Declaration) {
	GinkgoHelper()
	b, err := d.Encode()
	Expect(err).NotTo(HaveOccurred())
	o, ctx := c.operator(0)
	var r *operatorv1.ApplyResponse
	Eventually(func() error {
		r, err = o.Apply(ctx, &operatorv1.ApplyRequest{Operation: operation(), Declaration: b})
		return err
	}).WithTimeout(platformSettle).Should(Succeed())
	Expect(r.Outcome.Kind).To(Equal(operatorv1.OutcomeKind_OUTCOME_KIND_ACCEPTED), r.Outcome.Reason)
}

// ready waits until n endpoints serve the version, as seen by every gateway.
func (c *cluster) ready(serves, version string, n int, limit time.Duration) {
	GinkgoHelper()
	for i := range c.gateways {
		o, ctx := c.operator(i)
		Eventually(func() int {
			r, err := o.Get(ctx, &operatorv1.GetRequest{})
			if err != nil {
				return -1
			}
			k := 0
			for _, e := range r.Endpoints {
				if e.Serves == serves && e.Version == version && e.State == "ready" {
					k++
				}
			}
			return k
		}).WithTimeout(limit).Should(Equal(n), "gateway %d", i)
	}
}

package e2e_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	operatorKey = "test-key-anna"
	callerKey   = "test-key-members"
)

// place is a failure domain with its region.
type place struct{ domain, region string }

// layout is what a cluster consists of.
type layout struct {
	// gateways, engines and services have one entry for each instance.
	gateways, engines, services []place
	// flags are added to the command line of a kind of process (log, instances,
	// origin, engine, service, gateway, agent-engine, agent-service) or of one
	// process, such as engine-0.
	flags map[string][]string
	// weights is the size of a version in bytes.
	weights int
	// extra is added to the declaration.
	extra recorder.Declaration
	// model replaces the properties of the declared model.
	model recorder.Model
	// linked puts a link before the agents of these failure domains, and
	// enginesLinked one between each agent and its engine.
	linked        []string
	enginesLinked bool
	// relaysLinked puts a link between each agent and each gateway's relay,
	// gatewaysLinked one between each two gateways, listedLinked one before the
	// relay address that the instance list and the other gateways' settings have
	// of each gateway, and platformLinked names failure domains with links of
	// their own to the platform.
	relaysLinked, gatewaysLinked, listedLinked bool
	platformLinked                             []string
	// secure turns TLS on, mutual between the system's own processes.
	secure bool
}

// gateway is a gateway's process with its addresses.
type gateway struct {
	*process
	place                             place
	name                              string
	callers, operators, relay, remote string
	// link stands before the relay, at the listed address.
	link   *link
	listed string
}

// endpoint is an agent's process with that of its engine or service.
type endpoint struct {
	agent, target               *process
	place                       place
	name, address, local, where string
	// link stands before the agent, engineLink between it and its engine.
	link, engineLink *link
	// relays stand between the agent and its gateways.
	relays []*link
}

// cluster is a set of running processes.
type cluster struct {
	dir                    string
	layout                 layout
	log, list, origin      *process
	logURL, listURL, store string
	gateways               []*gateway
	engines, services      []*endpoint
	instances              *connector.Instances
	// between holds the links from one gateway to another, platform those from a
	// failure domain to the log, the instance list and the origin.
	between map[[2]string]*link
	// tls is set where the layout is secure.
	tls      *certificates
	platform map[string][]*link
}

// platformSettle is how long stand-ins may take to listen.
const platformSettle = 10 * time.Second

// newCluster starts the stand-ins and all processes of a layout.
func newCluster(l layout) *cluster {
	GinkgoHelper()
	c := &cluster{dir: GinkgoT().TempDir(), layout: l}
	DeferCleanup(c.dump)
	if l.secure {
		c.tls = newCertificates(c.dir)
	}
	p := ports(3)
	c.logURL, c.listURL, c.store = url(p[0]), url(p[1]), url(p[2])
	c.log = c.start("log", "eelgrass-standin", "log", "--listen", p[0])
	c.list = c.start("instances", "eelgrass-standin", "instances", "--listen", p[1])
	c.origin = c.start("origin", "eelgrass-standin", "origin", "--listen", p[2])
	c.instances = connector.NewInstances(c.listURL, http.DefaultClient)
	listening(c.logURL+"/v1/streams/configuration/records?from=1", c.listURL+"/v1/instances", c.store+"/stats")
	for i, p := range l.gateways {
		a := ports(4)
		c.gateways = append(c.gateways, &gateway{
			place: p, name: fmt.Sprintf("gateway-%d", i), callers: a[0], operators: a[1], relay: a[2], remote: a[3], listed: a[2],
		})
	}
	c.startLinks()
	for _, g := range c.gateways {
		c.startGateway(g)
	}
	for i, p := range l.engines {
		c.engines = append(c.engines, c.addEndpoint("engine", "model/assistant", i, p))
	}
	for i, p := range l.services {
		c.services = append(c.services, c.addEndpoint("service", "service/booking", i, p))
	}
	return c
}

// startLinks starts the links of the layout that don't belong to an endpoint.
func (c *cluster) startLinks() {
	GinkgoHelper()
	c.between, c.platform = make(map[[2]string]*link), make(map[string][]*link)
	for _, d := range c.layout.platformLinked {
		for i, u := range []string{c.logURL, c.listURL, c.store} {
			c.platform[d] = append(c.platform[d], c.link(fmt.Sprintf("platform-%s-%d", d, i), strings.TrimPrefix(u, "http://")))
		}
	}
	for _, g := range c.gateways {
		if c.layout.listedLinked {
			g.link = c.link(g.name, g.relay)
			g.listed = g.link.address
		}
		for _, o := range c.gateways {
			if g != o && c.layout.gatewaysLinked {
				c.between[[2]string{g.name, o.name}] = c.link(g.name+"-"+o.name, o.relay)
			}
		}
	}
}

// platformOf returns the URLs of the log, the instance list and the origin for a
// failure domain.
func (c *cluster) platformOf(domain string) (log, list, store string) {
	if l := c.platform[domain]; l != nil {
		return url(l[0].address), url(l[1].address), url(l[2].address)
	}
	return c.logURL, c.listURL, c.store
}

// listening waits until all URLs answer.
func listening(urls ...string) {
	GinkgoHelper()
	for _, u := range urls {
		Eventually(func() error { return get(u) }).WithTimeout(platformSettle).Should(Succeed())
	}
}

// dump prints the end of every log when a test failed.
func (c *cluster) dump() {
	if !CurrentSpecReport().Failed() {
		return
	}
	all := []*process{c.log, c.list, c.origin}
	for _, g := range c.gateways {
		all = append(all, g.process)
	}
	for _, e := range append(c.engines, c.services...) {
		all = append(all, e.agent, e.target)
	}
	for _, p := range all {
		l := p.lines()
		AddReportEntry(p.name, strings.Join(l[max(0, len(l)-40):], "\n"))
	}
}

func (c *cluster) start(name, binary string, args ...string) *process {
	GinkgoHelper()
	kind := strings.TrimRight(name, "0123456789-")
	args = append(args, c.layout.flags[kind]...)
	if name != kind {
		args = append(args, c.layout.flags[name]...)
	}
	return start(c.dir, name, binary, args...)
}

func (c *cluster) startGateway(g *gateway) {
	GinkgoHelper()
	var known []string
	for _, o := range c.gateways {
		if o != g {
			a := o.listed
			if l := c.between[[2]string{g.name, o.name}]; l != nil {
				a = l.address
			}
			known = append(known, a)
		}
	}
	log, list, _ := c.platformOf(g.place.domain)
	args := append(c.tls.flags(""), c.tls.flags("caller-")...)
	args = append(args,
		"--instance", g.name, "--failure-domain", g.place.domain, "--region", g.place.region,
		"--callers", g.callers, "--operators", g.operators, "--relay", g.relay, "--peers", g.remote,
		"--log-url", log, "--instances-url", list, "--balancer-wait", "300ms",
		"--bootstrap-key-digest", recorder.DigestOf([]byte(operatorKey)).String())
	if len(known) > 0 {
		args = append(args, "--known-gateways", strings.Join(known, ","))
	}
	g.process = c.start(g.name, "eelgrass-gateway", args...)
	c.register(g.name, connector.GatewayInstance, g.place, g.listed, "")
}

func (c *cluster) addEndpoint(kind, serves string, i int, p place) *endpoint {
	GinkgoHelper()
	a := ports(3)
	e := &endpoint{place: p, name: fmt.Sprintf("%s-%d", kind, i), address: a[0], local: a[1], where: url(a[2])}
	e.target = c.start(e.name, "eelgrass-standin", kind, "--listen", a[2])
	advertise, target := a[0], e.where
	if slices.Contains(c.layout.linked, p.domain) {
		e.link = c.link(e.name, a[0])
		advertise = e.link.address
	}
	if c.layout.enginesLinked {
		e.engineLink = c.link("target-"+e.name, a[2])
		target = url(e.engineLink.address)
	}
	var relays []string
	for _, g := range c.gateways {
		if g.place.domain == p.domain {
			a := g.relay
			if c.layout.relaysLinked {
				l := c.link(e.name+"-"+g.name, g.relay)
				e.relays = append(e.relays, l)
				a = l.address
			}
			relays = append(relays, a)
		}
	}
	log, _, store := c.platformOf(p.domain)
	e.agent = c.start("agent-"+e.name, "eelgrass-agent", append(c.tls.flags(""),
		"--instance", e.name, "--failure-domain", p.domain, "--region", p.region, "--serves", serves,
		"--listen", a[0], "--advertise", advertise, "--local", a[1], "--target-url", target, "--gateways", strings.Join(relays, ","),
		"--log-url", log, "--origin-url", store, "--origin-region", c.layout.gateways[0].region)...)
	c.register(e.name, connector.AgentInstance, p, advertise, serves)
	return e
}

func (c *cluster) register(name string, kind connector.InstanceKind, p place, address, serves string) {
	GinkgoHelper()
	Expect(c.instances.Register(context.Background(), connector.Instance{
		Name: recorder.Name(name), Kind: kind, FailureDomain: recorder.Name(p.domain), Region: recorder.Name(p.region),
		Address: netip.MustParseAddrPort(address), Serves: serves, State: connector.InstanceLive,
	})).To(Succeed())
}

func get(u string) error {
	r, err := http.Get(u)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return nil
}

// setFaults switches the faults of a stand-in.
func setFaults(base, faults string) {
	GinkgoHelper()
	q, err := http.NewRequest(http.MethodPut, base+"/faults", strings.NewReader(faults))
	Expect(err).NotTo(HaveOccurred())
	r, err := http.DefaultClient.Do(q)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = r.Body.Close() }()
	b, _ := io.ReadAll(r.Body)
	Expect(r.StatusCode).To(BeNumerically("<", 300), string(b))
}

// stats reads the counters of a stand-in.
func stats(base string) map[string]any {
	GinkgoHelper()
	r, err := http.Get(base + "/stats")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = r.Body.Close() }()
	var v map[string]any
	Expect(json.NewDecoder(r.Body).Decode(&v)).To(Succeed())
	return v
}

package resolver

import (
	"iter"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// Repeat says whether a request may be executed more than once.
type Repeat uint8

// The values of Repeat. The zero value is the most restrictive.
const (
	// AtMostOnce means that a request is executed at most once.
	AtMostOnce Repeat = iota
	// Repeatable means that a request may be executed more than once.
	Repeatable
	// Resumable means that a stream may be resumed by another endpoint.
	Resumable
)

// Configuration is the complete configuration that operators declared at one
// revision.
type Configuration struct {
	// Revision increases with each configuration.
	Revision uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	// Targets has at least one entry, and the weights sum to more than 0.
	Targets []Target
	Repeat  Repeat
	// Streaming is set if the response is a stream of events.
	Streaming bool
	// Public routes need no key.
	Public bool
	// Timeout is the maximum time that a request waits for its response; above 0.
	Timeout time.Duration
	// Aim is the target latency: the time within which the first byte of the response
	// is due. Callers wait longer, so it decides nothing but how long they wait for a stream at
	// least.
	Aim time.Duration
	// Gap is the target for the time between two events of a stream; a longer pause is
	// late. It is 0 if the route is not streaming.
	Gap time.Duration
	// Attempts is the maximum number of endpoints to which a request is sent; at
	// least 1.
	Attempts int
	// Rank is the priority; 0 is the highest.
	Rank int
	// Regions are the only regions that may receive a request; empty for all.
	Regions []string
}

// Callers abandon a stream, also before its first event, after the longest of minPatience,
// patienceAims target latencies and patienceGaps target gaps without an event.
const (
	minPatience  = 2 * time.Second
	patienceAims = 4
	patienceGaps = 8
)

// Patience returns how long callers wait for the next event of a stream.
func (r *Route) Patience() time.Duration {
	return max(minPatience, patienceAims*r.Aim, patienceGaps*r.Gap)
}

// Target is a service of a route with its weight.
type Target struct {
	Service string
	Weight  int
}

// Service is a group of equivalent endpoints, or an origin server of model weights.
type Service struct {
	Name string
	// Connections is the maximum number of connections to one endpoint from all
	// gateways; 0 means no limit.
	Connections int
	// ColdRate is the number of requests per second that a cold endpoint can serve; 0
	// means that the endpoints are never cold.
	ColdRate float64
	// ColdTime is how long an endpoint stays cold after it started.
	ColdTime time.Duration
	// Engine describes the model engines; nil for a service without engines.
	Engine *Engine
	// Origin is the address of the origin server of weights; the zero value for a
	// service that serves requests.
	Origin netip.AddrPort
	// OriginLink is the rate of an origin's link in bytes per second; 0 if it isn't known.
	OriginLink float64
	// Domain is the failure domain of an origin.
	Domain string
}

// Engine describes the model engines of a service.
type Engine struct {
	// Model is the name of the model; never empty.
	Model string
	// Slots is the number of requests that an engine runs concurrently; at least 1.
	Slots int
	// Chunks is the number of chunks of the weights and ChunkSize the size of one in
	// bytes.
	Chunks    int
	ChunkSize int64
	// Step is the time per generated token of a request that runs alone.
	Step time.Duration
	// ReadRate is the number of prompt tokens processed per second.
	ReadRate float64
	// Prompt and Answer are the typical numbers of tokens of a prompt and its answer.
	Prompt, Answer float64
	// Warm is the time that an engine takes to load staged weights.
	Warm time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Rank is the priority and precedes the one of the route; nil if the account has
	// none.
	Rank *int
	// Regions are the only regions that may receive a request; empty for all.
	Regions []string
}

// Limits are the limits for the connections and requests of callers; 0 means the
// default of the server.
type Limits struct {
	HeaderBytes, BodyBytes int64
	HeaderTimeout, Idle    time.Duration
}

// Check returns an error for the first invalid field. The error is of kind Invalid.
func (c *Configuration) Check() error {
	for e := range c.Faults() {
		return e
	}
	return nil
}

// Faults returns an error for each invalid field, with its place. A configuration is valid if
// there is none. Errors are made one by one, so that Check of a large record that is all wrong
// costs a gateway little memory.
func (c *Configuration) Faults() iter.Seq[*Error] {
	return func(yield func(*Error) bool) {
		for i := range c.Routes {
			add := func(field string, element int, err error) bool {
				return yield(&Error{
					Op: "check route " + c.Routes[i].Name, Kind: classifier.Invalid, Err: err,
					Place: Place{Kind: RouteEntry, Index: i, Field: field, Element: element},
				})
			}
			if !c.Routes[i].addFaults(add) {
				return
			}
		}
		for i := range c.Services {
			if c.Services[i].Name == "" && !yield(emptyName("check service", Place{Kind: ServiceEntry, Index: i, Field: "name"})) {
				return
			}
		}
		for i := range c.Accounts {
			if c.Accounts[i].Name == "" && !yield(emptyName("check account", Place{Kind: AccountEntry, Index: i, Field: "name"})) {
				return
			}
		}
	}
}

func emptyName(op string, p Place) *Error {
	return &Error{Op: op, Kind: classifier.Invalid, Err: errors.New("field name: empty"), Place: p}
}

// addFaults calls add with each invalid field until it returns false, and reports whether it
// returned true each time.
func (r *Route) addFaults(add func(field string, element int, err error) bool) bool {
	total, isFaulty := 0, false
	for i, t := range r.Targets {
		var err error
		switch {
		case t.Service == "" || t.Weight < 0:
			err = errors.Newf("field targets: service %q with weight %d", t.Service, t.Weight)
		case t.Weight > math.MaxInt-total:
			err = errors.New("field targets: the sum of the weights overflows")
		default:
			total += t.Weight
			continue
		}
		if isFaulty = true; !add("targets", i+1, err) {
			return false
		}
	}
	if r.Host == "" && !add("host", 0, errors.New("field host: empty")) {
		return false
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		if !add("prefix", 0, errors.Newf("field prefix: %q doesn't begin and end with a slash", r.Prefix)) {
			return false
		}
	}
	if total == 0 && !isFaulty && !add("targets", 0, errors.New("field targets: the weights sum to 0")) {
		return false
	}
	if r.Timeout <= 0 && !add("timeout", 0, errors.Newf("field timeout: %s is not above 0", r.Timeout)) {
		return false
	}
	return r.Attempts >= 1 || add("attempts", 0, errors.Newf("field attempts: %d is below 1", r.Attempts))
}

// Origin returns the first service that is an origin server of weights, or nil.
func (c *Configuration) Origin() *Service {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Origin.IsValid() })
	if i < 0 {
		return nil
	}
	return &c.Services[i]
}

package recorder

import (
	"github.com/cockroachdb/errors"
)

// maxKeyDigests limits the keys of an account. More than one key is allowed so that
// the old and the new key are both valid while a key is being replaced.
const maxKeyDigests = 8

// Bootstrap is the author of records made with the bootstrap key. They are
// accepted only while no operator is declared. No operator may have this name.
const Bootstrap Name = "bootstrap"

// ClientAccount is an account whose callers share its limits.
type ClientAccount struct {
	Name Name `json:"name"`
	// KeyDigests are the digests of the bearer keys of the account; at least one.
	KeyDigests []Digest `json:"key-digests"`
	// RequestsPerSecond is the sustained rate of requests; above 0.
	RequestsPerSecond float64 `json:"requests-per-second"`
	// Burst is the number of requests accepted at once above the rate; at least 1.
	Burst int `json:"burst"`
	// Concurrency is the maximum number of requests in flight; at least 1.
	Concurrency int `json:"concurrency"`
	// Weight is the account's share of the queue relative to other accounts; 1 to 100.
	Weight int `json:"weight"`
	// Priority is passed to the engine; 0 is the lowest, 9 the highest.
	Priority int `json:"priority,omitempty"`
}

// Check returns an error for the first invalid field.
func (c *ClientAccount) Check() error {
	if err := c.Name.Check(); err != nil {
		return errors.Wrap(err, "field name")
	}
	if err := checkKeys(c.KeyDigests); err != nil {
		return err
	}
	switch {
	case !(c.RequestsPerSecond > 0 && c.RequestsPerSecond <= maxAccountLimit):
		return errors.Newf("field requests-per-second: %v is not in (0, %v]", c.RequestsPerSecond, maxAccountLimit)
	case c.Burst < 1 || c.Burst > maxAccountLimit:
		return errors.Newf("field burst: %d is not in 1 to %v", c.Burst, maxAccountLimit)
	case c.Concurrency < 1 || c.Concurrency > maxAccountLimit:
		return errors.Newf("field concurrency: %d is not in 1 to %v", c.Concurrency, maxAccountLimit)
	case c.Weight < 1 || c.Weight > 100:
		return errors.Newf("field weight: %d is not in 1 to 100", c.Weight)
	case c.Priority < 0 || c.Priority > 9:
		return errors.Newf("field priority: %d is not in 0 to 9", c.Priority)
	}
	return nil
}

// OperatorAccount is a person or program that may use the operator API.
type OperatorAccount struct {
	Name       Name     `json:"name"`
	KeyDigests []Digest `json:"key-digests"`
}

// Check returns an error for the first invalid field.
func (o *OperatorAccount) Check() error {
	if err := o.Name.Check(); err != nil {
		return errors.Wrap(err, "field name")
	}
	if o.Name == Bootstrap {
		return errors.Newf("field name: %q is kept for the first set-up", string(o.Name))
	}
	return checkKeys(o.KeyDigests)
}

func checkKeys(keys []Digest) error {
	if len(keys) < 1 || len(keys) > maxKeyDigests {
		return errors.Newf("field key-digests: %d digests; 1 to %d are allowed", len(keys), maxKeyDigests)
	}
	for _, k := range keys {
		if k.IsZero() {
			return errors.New("field key-digests: a zero digest is not allowed")
		}
	}
	return nil
}

package recorder

import (
	"github.com/cockroachdb/errors"
)

// Fencing is whether the engines of a model reject orders with an old fencing
// number.
type Fencing string

// The values of Fencing.
const (
	FencingEnforced Fencing = "enforced"
	FencingIgnored  Fencing = "ignored"
)

// Model is a model that endpoints serve.
type Model struct {
	// Name identifies the model; requests refer to it by this name.
	Name Name `json:"name"`
	// Fencing defaults to FencingEnforced if it is empty.
	Fencing Fencing `json:"fencing,omitempty"`
	// OrderTimeout is the longest time that a load order stays valid; at least 1 s.
	OrderTimeout Duration `json:"order-timeout"`
}

// Check returns an error for the first invalid field.
func (m *Model) Check() error {
	if err := m.Name.Check(); err != nil {
		return errors.Wrap(err, "field name")
	}
	switch m.Fencing {
	case "", FencingEnforced, FencingIgnored:
	default:
		return errors.Newf("field fencing: %q is not one of enforced, ignored", string(m.Fencing))
	}
	return checkDuration("order-timeout", m.OrderTimeout, minOrderTimeout, maxOrderTimeout)
}

// Version is one version of a model's weights.
type Version struct {
	Model Name `json:"model"`
	Name  Name `json:"name"`
	// Manifest is the digest of the encoded manifest; never zero.
	Manifest Digest `json:"manifest"`
	// Digest is the digest of all weights; engines report it once they are loaded.
	Digest Digest `json:"digest"`
	// Size is the size of the weights in bytes; at least 1.
	Size int64 `json:"size"`
	// Adapters are loaded with the weights, in this order.
	Adapters []Name `json:"adapters,omitempty"`
	// Role is passed to the engine unchanged; empty means the engine's default.
	Role Name `json:"role,omitempty"`
}

// Key returns the name under which the version is declared: model/version.
func (v *Version) Key() string { return string(v.Model) + "/" + string(v.Name) }

// Check returns an error for the first invalid field.
func (v *Version) Check() error {
	if err := v.Model.Check(); err != nil {
		return errors.Wrap(err, "field model")
	}
	if err := v.Name.Check(); err != nil {
		return errors.Wrap(err, "field name")
	}
	if v.Manifest.IsZero() {
		return errors.New("field manifest: a digest is needed")
	}
	if v.Digest.IsZero() {
		return errors.New("field digest: a digest is needed")
	}
	if v.Size < 1 {
		return errors.Newf("field size: %d is below 1", v.Size)
	}
	for _, a := range v.Adapters {
		if err := a.Check(); err != nil {
			return errors.Wrap(err, "field adapters")
		}
	}
	if v.Role != "" {
		return errors.Wrap(v.Role.Check(), "field role")
	}
	return nil
}

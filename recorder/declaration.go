package recorder

import (
	"encoding/json"

	"sigs.k8s.io/yaml"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
)

// MaxDeclaration is the largest declaration file in bytes.
const MaxDeclaration = 1 << 20

// Declaration is the file in which operators declare objects.
type Declaration struct {
	Models         []Model           `json:"models,omitempty"`
	Versions       []Version         `json:"versions,omitempty"`
	FailureDomains []FailureDomain   `json:"failure-domains,omitempty"`
	Services       []Service         `json:"services,omitempty"`
	ClientAccounts []ClientAccount   `json:"client-accounts,omitempty"`
	Operators      []OperatorAccount `json:"operators,omitempty"`
	Rollouts       []Rollout         `json:"rollouts,omitempty"`
}

// ParseDeclaration reads a declaration in YAML or JSON and checks every object.
// An object that is declared twice is an error.
func ParseDeclaration(b []byte) (*Declaration, error) {
	const op = "parse declaration"
	if len(b) > MaxDeclaration {
		return nil, invalid(op, "%d bytes; at most %d are allowed", len(b), MaxDeclaration)
	}
	j, err := yaml.YAMLToJSONStrict(b)
	if err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	d := new(Declaration)
	if err := DecodeStrict(j, d); err != nil {
		return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	c := d.Changes()
	if len(c) == 0 {
		return nil, invalid(op, "no object is declared")
	}
	seen := make(map[string]bool, len(c))
	for i := range c {
		if err := c[i].Check(); err != nil {
			return nil, &Error{Op: op, Kind: classifier.Invalid, Err: err}
		}
		k := c[i].Key()
		if seen[k] {
			return nil, invalid(op, "%s is declared twice, and only one of the two can be meant", k)
		}
		seen[k] = true
	}
	return d, nil
}

// Encode returns the declaration as YAML.
func (d *Declaration) Encode() ([]byte, error) {
	j, err := json.Marshal(d)
	if err != nil {
		return nil, &Error{Op: "encode declaration", Kind: classifier.Internal, Err: err}
	}
	return yaml.JSONToYAML(j)
}

// Changes returns one change for each declared object, in an order in which each
// object comes after those it refers to.
func (d *Declaration) Changes() []Change {
	var c []Change
	for i := range d.FailureDomains {
		c = append(c, Change{Kind: PutFailureDomain, FailureDomain: &d.FailureDomains[i]})
	}
	for i := range d.Operators {
		c = append(c, Change{Kind: PutOperator, Operator: &d.Operators[i]})
	}
	for i := range d.ClientAccounts {
		c = append(c, Change{Kind: PutClientAccount, ClientAccount: &d.ClientAccounts[i]})
	}
	for i := range d.Services {
		c = append(c, Change{Kind: PutService, Service: &d.Services[i]})
	}
	for i := range d.Models {
		c = append(c, Change{Kind: PutModel, Model: &d.Models[i]})
	}
	for i := range d.Versions {
		c = append(c, Change{Kind: PutVersion, Version: &d.Versions[i]})
	}
	for i := range d.Rollouts {
		c = append(c, Change{Kind: StartRollout, Rollout: &d.Rollouts[i]})
	}
	return c
}

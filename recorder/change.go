package recorder

import (
	"github.com/cockroachdb/errors"
)

// ChangeKind is the operation that a change applies to its object.
type ChangeKind string

// The kinds of change. A change sets exactly the value field that its kind needs.
const (
	PutModel         ChangeKind = "put-model"
	PutVersion       ChangeKind = "put-version"
	PutFailureDomain ChangeKind = "put-failure-domain"
	PutService       ChangeKind = "put-service"
	PutClientAccount ChangeKind = "put-client-account"
	PutOperator      ChangeKind = "put-operator"
	StartRollout     ChangeKind = "start-rollout"
	PauseRollout     ChangeKind = "pause-rollout"
	ResumeRollout    ChangeKind = "resume-rollout"
	ReverseRollout   ChangeKind = "reverse-rollout"
	AdvanceRollout   ChangeKind = "advance-rollout"
	FinishRollout    ChangeKind = "finish-rollout"
	TakeDomainOut    ChangeKind = "take-domain-out"
	BringDomainIn    ChangeKind = "bring-domain-in"
	DrainEndpoint    ChangeKind = "drain-endpoint"
	ReturnEndpoint   ChangeKind = "return-endpoint"
	TakeGrant        ChangeKind = "take-grant"
	ReleaseGrant     ChangeKind = "release-grant"
	RevokeGrant      ChangeKind = "revoke-grant"
	RemoveObject     ChangeKind = "remove-object"
)

// Change is one change of one object.
type Change struct {
	Kind ChangeKind `json:"kind"`
	// Object names the object if the kind has no value field: a rollout, failure
	// domain or endpoint, or for remove-object its key such as "model/assistant".
	Object string `json:"object,omitempty"`
	// Expect is the revision of the object that the decision was based on. Nil
	// accepts any revision; 0 means that the object must not exist.
	Expect *uint64 `json:"expect,omitempty"`
	// Step is the step of the rollout that advance-rollout starts.
	Step int `json:"step,omitempty"`
	// Reason is the author's note.
	Reason string `json:"reason,omitempty"`

	Model         *Model           `json:"model,omitempty"`
	Version       *Version         `json:"version,omitempty"`
	FailureDomain *FailureDomain   `json:"failure-domain,omitempty"`
	Service       *Service         `json:"service,omitempty"`
	ClientAccount *ClientAccount   `json:"client-account,omitempty"`
	Operator      *OperatorAccount `json:"operator,omitempty"`
	Rollout       *Rollout         `json:"rollout,omitempty"`
	Grant         *Grant           `json:"grant,omitempty"`
	Release       *Release         `json:"release,omitempty"`
}

type checker interface{ Check() error }

// value returns the checker of the field that the kind needs, which is Object for
// kinds without a value. The result known is false if the kind is not known.
func (c *Change) value() (v checker, known bool) {
	switch c.Kind {
	case PutModel:
		return orMissing(c.Model), true
	case PutVersion:
		return orMissing(c.Version), true
	case PutFailureDomain:
		return orMissing(c.FailureDomain), true
	case PutService:
		return orMissing(c.Service), true
	case PutClientAccount:
		return orMissing(c.ClientAccount), true
	case PutOperator:
		return orMissing(c.Operator), true
	case StartRollout:
		return orMissing(c.Rollout), true
	case TakeGrant:
		return orMissing(c.Grant), true
	case ReleaseGrant, RevokeGrant:
		return orMissing(c.Release), true
	case PauseRollout, ResumeRollout, ReverseRollout, AdvanceRollout, FinishRollout,
		TakeDomainOut, BringDomainIn, DrainEndpoint, ReturnEndpoint:
		return objectName(c.Object), true
	case RemoveObject:
		return objectKey(c.Object), true
	}
	return nil, false
}

// objectName checks a change that has only the name of its object.
type objectName Name

func (n objectName) Check() error { return errors.Wrap(Name(n).Check(), "field object") }

type objectKey string

func (o objectKey) Check() error {
	if len(o) == 0 || len(o) > 3*maxNameBytes {
		return errors.Newf("field object: %d bytes; 1 to %d are allowed", len(o), 3*maxNameBytes)
	}
	return nil
}

// orMissing returns p, or for nil a checker that reports the missing value.
func orMissing[T any, P interface {
	*T
	checker
}](p P) checker {
	if p == nil {
		return missingValue{}
	}
	return p
}

type missingValue struct{}

func (missingValue) Check() error { return errors.New("the value of this kind is missing") }

// Check returns an error for the first invalid field.
func (c *Change) Check() error {
	v, known := c.value()
	if !known {
		return errors.Newf("field kind: %q is not known", string(c.Kind))
	}
	if err := v.Check(); err != nil {
		return errors.Wrapf(err, "%s", string(c.Kind))
	}
	if n := c.countValues(); n > 1 {
		return errors.Newf("%s: %d values; at most one is allowed", string(c.Kind), n)
	}
	if c.Step < 0 || c.Step > maxSteps {
		return errors.Newf("field step: %d is not in 0 to %d", c.Step, maxSteps)
	}
	return checkText("reason", c.Reason)
}

func (c *Change) countValues() int {
	n := 0
	for _, set := range []bool{
		c.Model != nil, c.Version != nil, c.FailureDomain != nil, c.Service != nil, c.ClientAccount != nil,
		c.Operator != nil, c.Rollout != nil, c.Grant != nil, c.Release != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// Key returns the key of the object that the change applies to, such as
// "model/assistant".
func (c *Change) Key() string {
	switch c.Kind {
	case PutModel:
		return "model/" + string(c.Model.Name)
	case PutVersion:
		return "version/" + c.Version.Key()
	case PutFailureDomain:
		return "failure-domain/" + string(c.FailureDomain.Name)
	case PutService:
		return "service/" + string(c.Service.Name)
	case PutClientAccount:
		return "client-account/" + string(c.ClientAccount.Name)
	case PutOperator:
		return "operator/" + string(c.Operator.Name)
	case StartRollout:
		return "rollout/" + string(c.Rollout.Name)
	case TakeDomainOut, BringDomainIn:
		return "failure-domain/" + c.Object
	case DrainEndpoint, ReturnEndpoint:
		return "endpoint/" + c.Object
	case TakeGrant:
		return "grant/" + string(c.Grant.Holder)
	case ReleaseGrant, RevokeGrant:
		return "grant"
	case RemoveObject:
		return c.Object
	default:
		return "rollout/" + c.Object
	}
}

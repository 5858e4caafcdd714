package registrar

import (
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// State is the configuration after the record at Offset. It is immutable; the
// zero value is the configuration before the first record.
type State struct {
	// Offset is the offset of the last applied record; it never decreases.
	Offset uint64 `json:"offset"`

	Models         map[recorder.Name]*Model           `json:"models"`
	Versions       map[string]*Version                `json:"versions"`
	FailureDomains map[recorder.Name]*FailureDomain   `json:"failure-domains"`
	Services       map[recorder.Name]*Service         `json:"services"`
	ClientAccounts map[recorder.Name]*ClientAccount   `json:"client-accounts"`
	Operators      map[recorder.Name]*OperatorAccount `json:"operators"`
	Rollouts       map[recorder.Name]*Rollout         `json:"rollouts"`
	// Drains holds the endpoints that operators drained, by instance.
	Drains map[recorder.Name]*Drain `json:"drains"`
	// Grants holds the grants that are neither released nor revoked, by offset.
	Grants map[uint64]*Grant `json:"grants"`

	// Operations holds the outcomes of the latest operations.
	Operations outcomeBlocks `json:"operations"`

	// index is derived from the maps above and never nil after an Apply that
	// changed them.
	index *index
}

// Model is a declared model with its current version.
type Model struct {
	recorder.Model
	Revision uint64 `json:"revision"`
	// Settled is the version that the last finished rollout left in place; empty
	// before the first rollout finished.
	Settled recorder.Name `json:"settled,omitempty"`
	// SettledAt is the offset that set Settled.
	SettledAt uint64 `json:"settled-at,omitempty"`
	// SettledBy is the rollout that set Settled.
	SettledBy recorder.Name `json:"settled-by,omitempty"`
	// Active is the rollout in progress; empty where there is none.
	Active recorder.Name `json:"active,omitempty"`
}

// Version is a declared version. Its content never changes.
type Version struct {
	recorder.Version
	Revision uint64 `json:"revision"`
}

// FailureDomain is a declared failure domain.
type FailureDomain struct {
	recorder.FailureDomain
	Revision uint64 `json:"revision"`
	// Out is set while operators keep the failure domain out of service.
	Out bool `json:"out,omitempty"`
	// Reason and By say why and by whom Out was last changed.
	Reason string        `json:"reason,omitempty"`
	By     recorder.Name `json:"by,omitempty"`
}

// Service is a declared plain service.
type Service struct {
	recorder.Service
	Revision uint64 `json:"revision"`
}

// ClientAccount is a declared client account.
type ClientAccount struct {
	recorder.ClientAccount
	Revision uint64 `json:"revision"`
}

// OperatorAccount is a declared operator.
type OperatorAccount struct {
	recorder.OperatorAccount
	Revision uint64 `json:"revision"`
}

// Drain records that operators took one endpoint out of service.
type Drain struct {
	Revision uint64        `json:"revision"`
	Reason   string        `json:"reason,omitempty"`
	By       recorder.Name `json:"by"`
}

// Grant is a grant that is neither released nor revoked.
type Grant struct {
	recorder.Grant
	// Offset is the fencing number of orders under the grant.
	Offset uint64 `json:"offset"`
}

// Phase is the phase of a rollout.
type Phase string

// The phases of a rollout.
const (
	Running   Phase = "running"
	Paused    Phase = "paused"
	Reversing Phase = "reversing"
	Done      Phase = "done"
	Reversed  Phase = "reversed"
)

// Rollout is a rollout and its progress.
type Rollout struct {
	recorder.Rollout
	Revision uint64 `json:"revision"`
	Phase    Phase  `json:"phase"`
	// Step is the index of the step in progress.
	Step int `json:"step"`
	// From is the version that the model had before; empty for the first one.
	From recorder.Name `json:"from,omitempty"`
	// TargetAt is the offset that last changed what endpoints should serve.
	TargetAt uint64 `json:"target-at"`
	// By is who started the rollout, LastBy who last changed its phase or step.
	By     recorder.Name `json:"by"`
	LastBy recorder.Name `json:"last-by"`
	// LastReason is the reason given for the last change of phase or step.
	LastReason string `json:"last-reason,omitempty"`
	// Granted, Succeeded and Failed count grants over the whole rollout.
	Granted   int `json:"granted"`
	Succeeded int `json:"succeeded"`
	Failed    int `json:"failed"`
	// FailuresInRow counts failed grants since the last success or the last
	// change of phase.
	FailuresInRow int `json:"failures-in-row,omitempty"`
	// LastFailure is the message of the last failed release.
	LastFailure string `json:"last-failure,omitempty"`
}

// IsActive reports whether the rollout still determines what endpoints serve.
func (r *Rollout) IsActive() bool {
	return r.Phase == Running || r.Phase == Paused || r.Phase == Reversing
}

// Covers reports whether the rollout has reached the failure domain. The last
// step includes the failure domains that no step names: the end of the rollout
// changes their target too, and without a rollout they could take no grant.
func (r *Rollout) Covers(domain recorder.Name) bool {
	if r.IsLastStep() {
		return true
	}
	for i := 0; i <= r.Step && i < len(r.Steps); i++ {
		for _, d := range r.Steps[i] {
			if d == domain {
				return true
			}
		}
	}
	return false
}

// IsLastStep reports whether no step follows the one in progress.
func (r *Rollout) IsLastStep() bool { return r.Step >= len(r.Steps)-1 }

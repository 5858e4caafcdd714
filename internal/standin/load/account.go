package load

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
	"github.com/eelgrassdrift/eelgrassdrift/internal/standin/engine"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// Account is a client account with its rates.
type Account struct {
	Name recorder.Name `json:"name"`
	// Key is the bearer key; empty sends none.
	Key string `json:"key,omitempty"`
	// ChatPerSecond, CallsPerSecond and ReadsPerSecond are the mean rates of
	// chat requests, of bookings and of reads of the service.
	ChatPerSecond  float64 `json:"chat-per-second,omitempty"`
	CallsPerSecond float64 `json:"calls-per-second,omitempty"`
	ReadsPerSecond float64 `json:"reads-per-second,omitempty"`
	// Model is named by chat requests.
	Model recorder.Name `json:"model,omitempty"`
	// MaxTokens is the length of an answer; 0 means engine.DefaultTokens.
	MaxTokens int `json:"max-tokens,omitempty"`
	// Prompts is the number of different prompt prefixes; 0 means 1.
	Prompts int `json:"prompts,omitempty"`
	// Unstreamed is the share of chat requests that are not streamed.
	Unstreamed float64 `json:"unstreamed,omitempty"`
	// Prefix is the path prefix of the service; empty means "/booking/".
	Prefix string `json:"prefix,omitempty"`
	// Keyed is the share of bookings with an Idempotency-Key.
	Keyed float64 `json:"keyed,omitempty"`
}

const (
	maxAccounts = 1000
	maxRate     = 100_000
	maxPrompts  = 1_000_000
	maxText     = 512
)

// Check reports the first wrong field.
func (a *Account) Check() error {
	if err := a.Name.Check(); err != nil {
		return errors.Wrap(err, "field name")
	}
	for _, f := range []struct {
		name string
		rate float64
	}{{"chat-per-second", a.ChatPerSecond}, {"calls-per-second", a.CallsPerSecond}, {"reads-per-second", a.ReadsPerSecond}} {
		if !(f.rate >= 0 && f.rate <= maxRate) {
			return errors.Newf("field %s: %v is not in 0 to %v", f.name, f.rate, maxRate)
		}
	}
	if a.ChatPerSecond > 0 {
		if err := a.Model.Check(); err != nil {
			return errors.Wrap(err, "field model")
		}
	}
	switch {
	case a.MaxTokens < 0 || a.MaxTokens > engine.MaxTokens:
		return errors.Newf("field max-tokens: %d is not in 0 to %d", a.MaxTokens, engine.MaxTokens)
	case a.Prompts < 0 || a.Prompts > maxPrompts:
		return errors.Newf("field prompts: %d is not in 0 to %d", a.Prompts, maxPrompts)
	case len(a.Key) > maxText || len(a.Prefix) > maxText:
		return errors.Newf("field key or prefix: more than %d bytes", maxText)
	case a.Prefix != "" && (!strings.HasPrefix(a.Prefix, "/") || !strings.HasSuffix(a.Prefix, "/")):
		return errors.Newf("field prefix: %q has to begin and end with \"/\"", a.Prefix)
	}
	if err := standin.CheckShare("unstreamed", a.Unstreamed); err != nil {
		return err
	}
	return standin.CheckShare("keyed", a.Keyed)
}

// ReadAccounts reads the accounts from a JSON file: {"accounts":[…]}.
func ReadAccounts(path string) ([]Account, error) {
	const op = "read accounts"
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, &standin.Error{Op: op, Kind: classifier.Invalid, Err: errors.WithStack(err)}
	}
	var v struct {
		Accounts []Account `json:"accounts"`
	}
	if err := recorder.DecodeStrict(b, &v); err != nil {
		return nil, &standin.Error{Op: op, Kind: classifier.Invalid, Err: err}
	}
	if len(v.Accounts) == 0 || len(v.Accounts) > maxAccounts {
		return nil, &standin.Error{Op: op, Kind: classifier.Invalid, Err: errors.Newf("field accounts: %d accounts; 1 to %d are allowed", len(v.Accounts), maxAccounts)}
	}
	for i := range v.Accounts {
		if err := v.Accounts[i].Check(); err != nil {
			return nil, &standin.Error{Op: op, Kind: classifier.Invalid, Err: errors.Wrapf(err, "account %d", i)}
		}
	}
	return v.Accounts, nil
}

package recorder

import (
	"net/http"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Service is an HTTP service other than a model. Requests are routed to it by path
// prefix.
type Service struct {
	Name Name `json:"name"`
	// Prefix is the path prefix of the service; it starts and ends with "/".
	Prefix string `json:"prefix"`
	// Timeout limits the duration of one call.
	Timeout Duration `json:"timeout"`
	// IdempotentMethods are the methods that may be retried, besides GET, HEAD and
	// OPTIONS, which always may.
	IdempotentMethods []string `json:"idempotent-methods,omitempty"`
	// KeyWindow is the time for which an idempotency key is remembered.
	KeyWindow Duration `json:"key-window"`
}

// Check returns an error for the first invalid field.
func (s *Service) Check() error {
	if err := s.Name.Check(); err != nil {
		return errors.Wrap(err, "field name")
	}
	if len(s.Prefix) < 3 || len(s.Prefix) > maxNameBytes || !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") {
		return errors.Newf("field prefix: %q has to begin and end with \"/\"", s.Prefix)
	}
	if strings.HasPrefix(s.Prefix, "/v1/") {
		return errors.Newf("field prefix: %q: /v1/ belongs to the models", s.Prefix)
	}
	for _, m := range s.IdempotentMethods {
		if !slices.Contains([]string{http.MethodPut, http.MethodDelete, http.MethodPost, http.MethodPatch}, m) {
			return errors.Newf("field idempotent-methods: %q is not one of PUT, DELETE, POST, PATCH", m)
		}
	}
	if err := checkDuration("timeout", s.Timeout, minTimeout, maxTimeout); err != nil {
		return err
	}
	return checkDuration("key-window", s.KeyWindow, minKeyWindow, maxKeyWindow)
}

// IsIdempotent reports whether calls with the method may be retried.
func (s *Service) IsIdempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return slices.Contains(s.IdempotentMethods, method)
}

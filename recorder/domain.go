package recorder

import (
	"github.com/cockroachdb/errors"
)

// FailureDomain is a set of instances that can fail together or be taken out of
// service together.
type FailureDomain struct {
	Name Name `json:"name"`
	// Region is the region that contains the failure domain.
	Region Name `json:"region"`
}

// Check returns an error for the first invalid field.
func (f *FailureDomain) Check() error {
	if err := f.Name.Check(); err != nil {
		return errors.Wrap(err, "field name")
	}
	return errors.Wrap(f.Region.Check(), "field region")
}

package distributor

// Level tells how far a source is from the instance that asks it.
type Level uint8

// The levels, from near to far.
const (
	// SameCell is an instance of the own cell.
	SameCell Level = iota
	// SameDomain is an instance of another cell of the own failure domain.
	SameDomain
	// SameRegion is an instance of another failure domain of the own region.
	SameRegion
	// OtherRegion is an instance of another region.
	OtherRegion
	// FromOrigin is the origin itself.
	FromOrigin
	levels
)

// String returns the kebab-case name of the level.
func (l Level) String() string {
	switch l {
	case SameCell:
		return "cell"
	case SameDomain:
		return "failure-domain"
	case SameRegion:
		return "region"
	case OtherRegion:
		return "other-region"
	default:
		return "origin"
	}
}

// Source is one place to ask for a chunk.
type Source struct {
	// Member is the zero value for the origin.
	Member Member
	Level  Level
	// LowerRanked marks an instance that is ranked after the one that asks. It is
	// asked without waiting, since it may be waiting for the asking instance.
	LowerRanked bool
}

// Name returns the instance's name, or "origin".
func (s Source) Name() string {
	if s.Level == FromOrigin {
		return "origin"
	}
	return string(s.Member.Instance)
}

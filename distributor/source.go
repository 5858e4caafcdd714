package distributor

// Level is the distance of a source from the instance that asks it.
type Level uint8

// The levels, from nearest to farthest.
const (
	// SameCell is an instance of the same cell.
	SameCell Level = iota
	// SameDomain is an instance of another cell of the same failure domain.
	SameDomain
	// SameRegion is an instance of another failure domain of the same region.
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

// Source is a peer or the origin as a source of a chunk.
type Source struct {
	// Member is the zero value for the origin.
	Member Member
	Level  Level
	// LowerRanked marks an instance that is ranked after the asking instance. It is
	// asked without waiting, since it may itself be waiting for the asking instance.
	LowerRanked bool
}

// Name returns the name of the instance, or "origin".
func (s Source) Name() string {
	if s.Level == FromOrigin {
		return "origin"
	}
	return string(s.Member.Instance)
}

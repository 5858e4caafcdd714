package forwarder

import "strings"

const (
	// maxSharedParts bounds the parts of a prompt that are told apart.
	maxSharedParts = 32
	// maxPartIDBytes bounds the id of a part.
	maxPartIDBytes = 64
)

// sharedParts returns the ids of the parts of a prompt that other requests may share: all but
// the last one, which belongs to one request or session.
func sharedParts(list string) []string {
	n := strings.LastIndexByte(list, ',')
	if n < 0 {
		return nil
	}
	var ids []string
	for p := range strings.SplitSeq(list[:n], ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(p), ":")
		if id != "" && len(id) <= maxPartIDBytes && len(ids) < maxSharedParts {
			ids = append(ids, id)
		}
	}
	return ids
}

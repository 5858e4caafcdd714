package forwarder

import "strings"

// sharedParts returns the ids of the parts of a prompt that other requests may share: all but
// the last one, which belongs to one request or session. An id is a number in hexadecimal, whose
// case doesn't matter.
func sharedParts(lists []string) []string {
	list := strings.ToLower(strings.Join(lists, ","))
	n := strings.LastIndexByte(list, ',')
	if n < 0 {
		return nil
	}
	ids := make([]string, 0, strings.Count(list, ","))
	seen := make(map[string]bool, cap(ids))
	for p := range strings.SplitSeq(list[:n], ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(p), ":")
		if id != "" && !seen[id] {
			seen[id] = true
			ids = append(ids, id)
		}
	}
	return ids
}

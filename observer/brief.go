package observer

// maxLoggedBytes bounds the text of an error in a log line. The errors of decoders quote
// what they can't decode, up to a whole record.
const maxLoggedBytes = 200

// brief returns the beginning of the text of an error, for a log line.
func brief(err error) string {
	if err == nil {
		return ""
	}
	s := err.Error()
	if len(s) > maxLoggedBytes {
		return s[:maxLoggedBytes] + " ..."
	}
	return s
}

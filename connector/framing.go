package connector

import "net/http"

// IsEndedByClose reports whether the body of a response to HTTP/1 ends where the connection
// is closed. HTTP doesn't tell whether such a body is whole.
func IsEndedByClose(r *http.Response) bool {
	return r.ProtoMajor == 1 && r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.Request.Method != http.MethodHead
}

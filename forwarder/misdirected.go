package forwarder

import "net/http"

// isForEndpoint reports whether the request is an attempt for a listed endpoint. An entry of
// another writer may have the address of a gateway, which would send such requests around in
// a circle, or answer them as those of a caller without a key.
func (f *Handler) isForEndpoint(q *http.Request) bool {
	id := q.Header.Get(f.Headers.Instance)
	return id != "" && f.Dispatcher.State.Endpoints()[id] != nil
}

// answerMisdirected answers as an endpoint does that isn't the expected one.
func (c *call) answerMisdirected() {
	c.w.Header().Set(c.handler.Headers.RequestID, c.id)
	c.answerStatus(http.StatusMisdirectedRequest, "misdirected", nil)
}

// Package standin holds what the stand-ins of the outside systems share: the
// HTTP server, the faults interface, seeded chances and reply helpers.
//
// Each stand-in is a struct in a package of its own. Its exported fields are set
// before use and its zero value works. It is an http.Handler, so that a Go test
// serves it with net/http/httptest, and its Run method listens on an address for
// whole-path tests. Faults are plain data: they are given at the start, replaced
// as a whole by PUT /faults and read back by GET /faults.
package standin

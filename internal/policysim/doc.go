// Package policysim runs the decisions of the request path (router, limiter,
// admitter, retrier) against simple models of engines and callers in virtual
// time. Its tests compare each decision with a simple baseline under the same
// seed and check the targets of docs/design.md. It opens no sockets and starts
// no processes; it measures rules, not the program.
package policysim

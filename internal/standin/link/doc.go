// Package link is a TCP relay between two addresses that can be slow, stalled,
// cut, refusing or corrupting.
//
// Bytes from the side that connects to the target flow forward, the others
// backward. All connections of a link share its rate in each direction, as on a
// line between two places. The faults are set in Go or by PUT /faults at the
// control address.
package link

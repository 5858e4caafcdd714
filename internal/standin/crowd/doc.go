// Package crowd is a stand-in for clients that keep no limit of the protocol: they send
// headers without end, stop halfway, or don't read what they asked for. Its clients connect
// again whenever their connection ends.
package crowd

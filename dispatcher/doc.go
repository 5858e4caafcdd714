// Package dispatcher decides at a gateway which endpoint a request goes to, when
// it waits and when it is refused, where no agent stands before the endpoints.
//
// A Dispatcher holds one pool for each service. A pool knows the endpoints of the
// list, what this gateway has in flight there, and what the endpoints' instances
// report of the load of all gateways. Acquire returns a Lease on the best of a few
// endpoints drawn at random, by the load relative to the slots, the prompts that
// are not read yet, and the distance.
// A request that finds all slots taken waits in the pool's queue, by rank and then
// in the order of arrival, as long as the queue drains fast enough to serve it in
// time; otherwise it is refused at once with the time at which to come back. One
// that came back is late anyway; it waits longer, in a queue of its own that gets a
// small part of the slots while there are others.
//
// Nothing here opens a connection; time and the list come in from outside. The
// load that the decisions answer is the arrival of more streams than the engines
// run at once: an engine slows all its streams when it takes more, so the excess
// waits here, where it can still go to whichever engine has room first.
package dispatcher

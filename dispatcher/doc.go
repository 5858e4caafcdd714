// Package dispatcher decides at a gateway which endpoint a request goes to, and
// whether it is queued or refused, in deployments without agents in front of the
// endpoints.
//
// A Dispatcher holds one pool for each service. A pool knows the endpoints of the
// list, what this gateway has in flight there, and what the endpoints' instances
// report of the load of all gateways. Acquire returns a Lease on the best of a few
// endpoints sampled at random, by the load relative to the slots, the prompts that
// are not processed yet, the distance, recent failures and the model version.
//
// A request that finds all slots taken waits in the pool's queue, by priority and then by
// its latest start: the time by which it has to be sent so that its caller is still there
// when the work is done. The work follows from the prompt, the answer and what earlier
// requests of the route took. First tries and repeats are alike. A request that the queue
// won't reach by its latest start is refused, on arrival or as soon as the queue slows, with
// the time after which to retry. Requests also wait there while no endpoint has a version
// that may be used and some are about to load one.
//
// The package opens no connections; the clock and the endpoint list are inputs. It
// is designed for the arrival of more streams than the engines run at once: an
// engine slows down all its streams when it accepts more, so the excess waits at the
// gateway, where it can still go to whichever engine has a free slot first.
package dispatcher

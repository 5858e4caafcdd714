// Package admitter decides at a gateway which requests are admitted, which wait
// in a queue and which are refused.
//
// Each client account has a token bucket and a concurrency limit. A request
// above the rate is refused at once. A request that finds all capacity in use
// waits in a weighted fair queue: accounts are served in proportion to their
// weights, and the requests of one account in the order of their arrival. The
// queue is bounded. When it is full, an account below its share of the queue
// replaces the newest request of the account that is most above its own share.
//
// While capacity is free, an account may use more than its share of it, which
// is in proportion to its weight among the accounts with requests. The last
// fifth of the capacity is for accounts below their shares. An account without
// others may use all of it.
//
// The wait is estimated from the drain rate of the queue: capacity divided by
// the mean time for which requests hold it (Little's law), times the account's
// share of the weights that are waiting. A request that would wait longer than
// MaxWait, or too long to be served before its deadline, is refused at once,
// and a waiting one as soon as the estimate says so. No request is held back
// for any other reason.
package admitter

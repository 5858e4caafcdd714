// Package limiter implements an adaptive concurrency limit for one endpoint.
//
// Requests are evaluated in windows of one round, that is, of as many requests
// as the limit. The limit starts at Cold and doubles after a window that used
// it at the latency of an unloaded endpoint (slow start). Requests that began
// before the change are skipped first, so the limit is never more than twice
// the concurrency that the endpoint was seen to sustain. After the latency has
// risen once, the limit grows by one per window (additive increase). A window
// with too many failures, or with a latency far above the baseline, lowers the
// limit by a factor (multiplicative decrease). Between the latency that allows
// growth and the one that lowers the limit is a band in which the limit stays,
// so that it does not change with every small variation. The band is widened by
// the standard error of the comparison, which is small for times per token and
// large for the total times of a plain service.
//
// The latency is the time per token where tokens are counted, otherwise the
// time to the first token, otherwise the total time. The time per token is
// preferred because the time to the first token depends on whether the prompt's
// prefix was cached: without any load it differs by several times between
// requests.
//
// The baseline is the latency of the endpoint under little load. It is learned
// in windows that used at most half of the limit. When there was none for a
// long time, the limit is halved for one window as a probe. A baseline learned
// under full load would include the queueing that the limit itself allows.
//
// The limit returns to Cold when the caller reports a restart (Reset) and when
// the time to the first token jumps: when even the lowest of the latest times
// is far above the average, which single uncached prompts do not cause.
package limiter

package limiter

import "time"

// minTokens is the number of tokens from which the time per token is used.
const minTokens = 8

// Sample describes a finished request.
type Sample struct {
	// FirstToken is the time to the first byte of the response; 0 for none.
	FirstToken time.Duration
	// Total is the time to the end of the response.
	Total time.Duration
	// Tokens is the number of tokens or events streamed; 0 if they are not
	// counted.
	Tokens int
	// Failed reports whether the endpoint did not do the work, or sent no first
	// byte before the deadline. A request that the caller ended early is not a
	// failure; its sample has zero times and is not evaluated.
	Failed bool
	// Stream is the stream passed to Token; nil if there was none. It is also
	// set where the caller ended the request.
	Stream *Stream
}

// latency returns the latency in seconds that is compared with the baseline; 0
// if there is none.
func (s Sample) latency() float64 {
	switch {
	case s.Tokens >= minTokens && s.Total > s.FirstToken:
		return (s.Total - s.FirstToken).Seconds() / float64(s.Tokens-1)
	case s.Tokens > 0:
		return 0
	case s.FirstToken > 0:
		return s.FirstToken.Seconds()
	default:
		return s.Total.Seconds()
	}
}

// Package streamer verifies streamed responses and copies them to the next hop.
//
// A streamed response is a sequence of server-sent events. Each event carries
// "id: REQUEST/SEQUENCE" with sequences from 0, and one JSON object as data.
// The last event is "event: end" with "id: REQUEST/N" and "data: {"count":N}".
// A Reader returns the frames of one request in order and without duplicates,
// and returns io.EOF only after the end frame confirmed their number. In every
// other case in which a stream stops it returns an *Error, whose Fault
// distinguishes a truncated stream from a gap, a frame of another request and
// malformed input. Position then gives the sequence from which to resume at the
// engine.
//
// Frames that arrive out of order are reordered while they are at most
// Reader.Window sequences ahead; a larger distance is a gap. The window trades
// the delay until a lost frame is detected against the tolerance for senders
// that number frames in parallel. TCP itself never reorders frames.
//
// A Writer writes verified frames: in Hop form, as above, from an agent to a
// gateway, and in Caller form, without ids and terminated by "data: [DONE]". In
// both forms a stream that cannot be completed ends with an "event: error" that
// has a problem document as data. Copy connects a Reader and a Writer.
package streamer

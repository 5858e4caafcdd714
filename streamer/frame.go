package streamer

// Frame is one event of a streamed response.
type Frame struct {
	// Request is the id of the request that the frame belongs to.
	Request string
	// Sequence is the number of the frame, from 0. In an end frame it equals
	// Count.
	Sequence uint64
	// End reports whether this is the end frame.
	End bool
	// Count is the number of data frames of the whole response; it is set in an
	// end frame only.
	Count uint64
	// Data is the JSON object of a data frame. It is valid until the next call
	// of Reader.Next.
	Data []byte
}

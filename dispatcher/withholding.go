package dispatcher

// The reasons of the refusal of a request that could have used a free slot.
const (
	// Reserved means that slots were kept for more urgent requests of this gateway.
	Reserved = "reserved"
	// ReservedElsewhere means that all of these were left to more urgent requests that wait at other
	// gateways.
	ReservedElsewhere = "reserved-elsewhere"
)

// IsReserved reports whether the reason of a refusal is that slots were kept for more urgent requests.
func IsReserved(reason string) bool { return reason == Reserved || reason == ReservedElsewhere }

// withholding is why a free slot was kept from a request. Of two, the greater one is told.
type withholding uint8

const (
	notWithheld withholding = iota
	// leftElsewhere means that it was left to more urgent requests that wait at other gateways.
	leftElsewhere
	// keptHere means that it was kept for more urgent requests of this gateway.
	keptHere
)

// reason returns why the request is refused: otherwise, unless a slot was kept from it.
func (w *waiter) reason(otherwise string) string {
	switch w.withheld {
	case keptHere:
		return Reserved
	case leftElsewhere:
		return ReservedElsewhere
	default:
		return otherwise
	}
}

package guarder

// answerCache holds the answers of finished operations for repeated calls. It
// evicts the oldest answer when it exceeds its bounds.
type answerCache struct {
	maxAnswerBytes, maxTotalBytes int
	sizeBytes                     int
	operations                    []*operation
}

// add stores the answer of a finished operation unless it exceeds a bound by
// itself.
func (a *answerCache) add(o *operation, v Answer) {
	n := v.sizeBytes()
	if n > a.maxAnswerBytes || n > a.maxTotalBytes {
		return
	}
	o.answer = &v
	a.sizeBytes += n
	a.operations = append(a.operations, o)
	for a.sizeBytes > a.maxTotalBytes || len(a.operations) > maxCachedAnswers {
		a.remove(a.operations[0])
		a.operations = a.operations[1:]
	}
}

// remove drops the answer of an operation.
func (a *answerCache) remove(o *operation) {
	if o.answer != nil {
		a.sizeBytes -= o.answer.sizeBytes()
		o.answer = nil
	}
}

// maxCachedAnswers bounds the number of answers in the cache.
const maxCachedAnswers = 16 << 10

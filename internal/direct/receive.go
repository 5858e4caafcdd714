package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/eelgrassdrift/eelgrassdrift/dispatcher"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

const (
	// maxDatagramBytes is the largest size of a report.
	maxDatagramBytes = 2048
	// receiveRetryDelay is the pause after an error of the socket.
	receiveRetryDelay = 100 * time.Millisecond
)

// reportReceiver receives the load reports of agents. Neither a datagram that is no report
// nor an error of the socket ends it: without reports, a gateway still serves.
type reportReceiver struct {
	// Read reads the next datagram and returns the address from which it came.
	Read   func(b []byte) (int, netip.AddrPort, error)
	Report func(dispatcher.Report)
	// Isolator learns what other gateways send of endings.
	Isolator *isolator.Isolator
	Log      zerolog.Logger
}

// run receives reports until ctx is done. Read must fail then.
func (r *reportReceiver) run(ctx context.Context) {
	b := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := r.Read(b)
		if err != nil {
			if ctx.Err() == nil {
				r.Log.Warn().Err(err).Msg("reports-not-received")
			}
			_ = sleeper.Sleep(ctx, receiveRetryDelay)
			continue
		}
		if bytes.HasPrefix(b[:n], endingsPrefix) {
			r.receiveEndings(b[:n])
			continue
		}
		var v dispatcher.Report
		if err := json.Unmarshal(b[:n], &v); err != nil {
			r.Log.Warn().Err(err).Msg("report-refused")
			continue
		}
		v.From = from
		r.Report(v)
	}
}

// endingsPrefix begins each message with endings; a report never begins so.
var endingsPrefix = []byte(`{"endings":`)

func (r *reportReceiver) receiveEndings(b []byte) {
	var m isolator.Message
	if err := json.Unmarshal(b, &m); err != nil {
		r.Log.Warn().Err(err).Msg("endings-refused")
		return
	}
	for _, e := range m.Endings {
		r.Isolator.Learn(e)
	}
	for _, h := range m.Holds {
		r.Isolator.LearnHold(h, false)
	}
}

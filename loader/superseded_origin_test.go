package loader

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/timekeeper"
	"github.com/eelgrassdrift/eelgrassdrift/observer"
	"github.com/eelgrassdrift/eelgrassdrift/resolver"
)

// Guards against missing pieces of a superseded version that are asked for at the former address of the
// origin for good.
func TestOriginMovesDuringSupersededFetch(t *testing.T) {
	l, _, m, pieces := newTestLoader(t, "127.0.0.4:1")
	l.name(8600*time.Millisecond, 5600*time.Millisecond)
	const missing = 2
	former, other := netip.MustParseAddrPort("127.0.0.3:1"), netip.MustParseAddrPort("127.0.0.5:1")
	asked := make(chan struct{}, testChunks)
	l.Pieces = func(a netip.AddrPort) *connector.Pieces {
		return &connector.Pieces{Piece: func(ctx context.Context, _ string, _ int64, n int) (io.ReadCloser, int64, error) {
			if a == former {
				asked <- struct{}{}
				<-ctx.Done()
				return nil, 0, context.Cause(ctx)
			}
			return io.NopCloser(bytes.NewReader(pieces[n])), testChunkSize, nil
		}}
	}
	for i := missing; i < len(pieces); i++ {
		if err := l.Store.Put(m.Chunks[i], pieces[i]); err != nil {
			t.Fatal(err)
		}
	}
	l.Link = testChunks * testChunkSize
	l.superseded.Store(2)
	go func() {
		<-asked
		decode := l.State.Decode
		l.State.Decode = func(key string, v []byte) (*observer.Decision, error) {
			d, err := decode(key, v)
			if err == nil && d.Configuration != nil {
				d.Configuration.Services[1] = resolver.Service{Name: "o", Origin: other, OriginLink: testChunks * testChunkSize}
			}
			return d, err
		}
		l.State.ApplyOperator([]connector.Item{{Key: "config", Value: []byte("c"), Offset: 100}}, timekeeper.Now())
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	for l.complete.Load() != 2 && ctx.Err() == nil {
		if err := l.supersededStep(ctx); err != nil {
			t.Fatal(err)
		}
	}
	if got := l.complete.Load(); got != 2 {
		t.Errorf("complete version %d, want 2", got)
	}
}

package loader

import (
	"context"
	"io"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/distributor"
	"github.com/eelgrassdrift/eelgrassdrift/internal/sleeper"
	"github.com/eelgrassdrift/eelgrassdrift/internal/watcher"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

const (
	// manifestIdleTimeout is the time within which the response of the origin to a request
	// for digests must begin, and the longest pause in it.
	manifestIdleTimeout = 1500 * time.Millisecond
	// manifestTimeout bounds the whole response, which may have some megabytes.
	manifestTimeout = 15 * time.Second
)

// errNoOrigin is the error of reads while no configuration names an origin.
var errNoOrigin = errors.New("no configuration names an origin")

// originPlace is where a configuration puts the origin. The address is the zero value if it names
// none.
type originPlace struct {
	address netip.AddrPort
	domain  string
}

// originConnection holds what depends on the place of the origin. It is replaced as a whole.
type originConnection struct {
	// place keeps the last known failure domain while no origin is named.
	place originPlace
	// pieces reads pieces from the origin, and manifests manifests; nil while no origin is named.
	pieces, manifests *connector.Pieces
	// fetcher fetches target versions.
	fetcher *distributor.Fetcher
}

// namedOrigin returns the place of the origin in the current configuration.
func (l *Loader) namedOrigin() originPlace {
	if _, o := l.engine(); o != nil {
		return originPlace{o.Origin, o.Domain}
	}
	return originPlace{}
}

// isCurrent reports whether the current configuration has the origin at the place.
func (l *Loader) isCurrent(p originPlace) bool {
	n := l.namedOrigin()
	return n.address == p.address && (n.domain == p.domain || !n.address.IsValid())
}

// connect returns the connection to the origin that the current configuration names. It makes a new
// one if its place has changed.
func (l *Loader) connect() *originConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.connection
	if old != nil && l.isCurrent(old.place) {
		return old
	}
	c := &originConnection{place: l.namedOrigin()}
	if c.place.address.IsValid() {
		c.pieces = l.Pieces(c.place.address)
		c.manifests = c.pieces
		if l.Manifests != nil {
			c.manifests = l.Manifests(c.place.address)
		}
	} else if old != nil {
		c.place.domain = old.place.domain
	}
	c.fetcher = l.NewFetcher(&connector.Origin{Fetch: l.fetchTargetPiece}, c.place.domain)
	l.connection = c
	if old != nil {
		l.Log.Info().Stringer("from", old.place.address).Stringer("to", c.place.address).Str("domain", c.place.domain).Msg("origin-changed")
	}
	return c
}

// whileCurrent returns a context that also ends when a configuration puts the origin elsewhere: reads
// at its former address may never be answered, and the failure domain decides whom to ask first.
func (l *Loader) whileCurrent(ctx context.Context, p originPlace) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for ctx.Err() == nil && l.isCurrent(p) {
			_ = sleeper.Sleep(ctx, pollInterval)
		}
		cancel()
	}()
	return ctx, cancel
}

// fetchTargetPiece opens a piece of the target version at the origin.
func (l *Loader) fetchTargetPiece(ctx context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
	l.leaveToSuperseded(ctx, d)
	body, size, err := l.fetchPiece(ctx, d)
	l.originAnswered.Store(err == nil)
	return body, size, err
}

// fetchPiece opens the piece with the digest at the origin.
func (l *Loader) fetchPiece(ctx context.Context, d recorder.Digest) (io.ReadCloser, int64, error) {
	const op = "fetch piece"
	i, ok := l.versions.piece(d)
	if !ok {
		return nil, 0, fail(op, classifier.NotFound, errors.Newf("no known piece has the digest %s", d))
	}
	c := l.connect()
	if c.pieces == nil {
		return nil, 0, fail(op, classifier.Unavailable, errNoOrigin)
	}
	return c.pieces.Piece(ctx, i.model, i.version, i.number)
}

// digestsFromOrigin reads the digests of a version twice and compares the responses.
// They carry no checksum, and no piece would ever match a corrupt digest.
func (l *Loader) digestsFromOrigin(ctx context.Context, model string, version int64) ([][32]byte, error) {
	c := l.connect()
	if c.manifests == nil {
		return nil, fail("read digests", classifier.Unavailable, errNoOrigin)
	}
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	ctx, leave := l.whileCurrent(ctx, c.place)
	defer leave()
	ctx, stop := watcher.WithIdleTimeout(ctx, manifestIdleTimeout, manifestIdleTimeout)
	defer stop()
	var first, second [][32]byte
	g, ctx := errgroup.WithContext(ctx)
	read := func(d *[][32]byte) func() error {
		return func() (err error) {
			*d, err = c.manifests.Manifest(ctx, model, version)
			return err
		}
	}
	g.Go(read(&first))
	g.Go(read(&second))
	if err := g.Wait(); err != nil {
		return nil, err
	}
	if !slices.Equal(first, second) {
		return nil, fail("read digests", classifier.Unavailable, errors.New("two responses of the origin differ"))
	}
	return first, nil
}

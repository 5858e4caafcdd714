package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/connector"
	"github.com/eelgrassdrift/eelgrassdrift/internal/settings"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

func (a *App) publishCommand() *cli.Command {
	return &cli.Command{
		Name: "publish", Usage: "store weights in the origin and print their version", ArgsUsage: "FILE",
		Description: "Splits the file into chunks, stores the chunks and then the manifest that names\nthem, and prints the declaration of the version. Apply it, or give --declare.\nA repeat stores the same chunks again and is harmless.",
		Flags: changeFlags(
			&cli.StringFlag{Name: "model", Usage: "`NAME` of the declared model"},
			&cli.StringFlag{Name: "version", Usage: "`NAME` of the new version; a version never changes"},
			&cli.StringSliceFlag{Name: "adapter", Usage: "`NAME` of an adapter that the engine loads with the weights; may be repeated"},
			&cli.StringFlag{Name: "role", Usage: "`ROLE` that is passed to the engine"},
			&cli.StringFlag{Name: "origin", Usage: "base `URL` of the origin", Sources: settings.Env("origin")},
			&cli.Int64Flag{Name: "chunk-size", Value: 1 << 20, Usage: "`BYTES` of a chunk", Sources: settings.Env("chunk-size")},
			&cli.Int64Flag{Name: "parallel", Value: 4, Usage: "`NUMBER` of chunks stored at once", Sources: settings.Env("parallel")},
			&cli.Int64Flag{Name: "attempts", Value: 10, Usage: "`NUMBER` of attempts for each chunk"},
			&cli.BoolFlag{Name: "declare", Usage: "declare the version at the gateways"},
		),
		Action: a.publish,
	}
}

func (a *App) publish(ctx context.Context, c *cli.Command) error {
	name, err := oneArgument(c)
	if err != nil {
		return err
	}
	var f settings.Faults
	checkCommon(&f, c)
	var o options
	if c.Bool("declare") {
		// Wrong settings of the gateways must show before a long upload.
		o = a.readOptions(&f, c)
	}
	v := recorder.Version{
		Model: recorder.Name(c.String("model")), Name: recorder.Name(c.String("version")), Role: recorder.Name(c.String("role")),
	}
	for _, n := range c.StringSlice("adapter") {
		v.Adapters = append(v.Adapters, f.Name("adapter", n))
	}
	parallel := int(f.Int("parallel", c.Int64("parallel"), 1, 64))
	u := uploader{
		origin:   connector.NewOrigin(f.URL("origin", c.String("origin")), httpClient(c.Duration("timeout"), parallel)),
		parallel: parallel,
		attempts: int(f.Int("attempts", c.Int64("attempts"), 1, 1000)),
		sleep:    a.Sleep,
	}
	size := f.Int("chunk-size", c.Int64("chunk-size"), recorder.MinChunkSize, recorder.MaxChunkSize)
	if err := f.Err(); err != nil {
		return err
	}
	m, digest, err := u.upload(ctx, name, size, a.progress)
	if err != nil {
		return err
	}
	v.Manifest, v.Digest, v.Size = digest, m.Digest, m.Size
	b, err := a.printVersion(&v, c.String("output"))
	if err != nil || !c.Bool("declare") {
		return err
	}
	return a.apply(ctx, o, b)
}

// httpClient keeps one connection for each chunk that is stored at once.
func httpClient(timeout time.Duration, parallel int) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: parallel, MaxConnsPerHost: parallel}}
}

// printVersion prints the declaration of the version and returns it.
func (a *App) printVersion(v *recorder.Version, form string) ([]byte, error) {
	d := recorder.Declaration{Versions: []recorder.Version{*v}}
	b, err := d.Encode()
	if form == jsonForm {
		b, err = json.MarshalIndent(&d, "", "  ")
		b = append(b, '\n')
	}
	if err != nil {
		return nil, &Error{Op: "encode version", Kind: classifier.Internal, Err: err}
	}
	if _, err := a.Out.Write(b); err != nil {
		return nil, &Error{Op: "print version", Kind: classifier.Internal, Err: errors.WithStack(err)}
	}
	return b, nil
}

// progress shows the number of stored chunks on a terminal.
func (a *App) progress(chunks int64) {
	if a.IsTerminal {
		_, _ = fmt.Fprintf(a.Err, "\r%d chunks stored", chunks)
	}
}

// uploader stores a file in the origin.
type uploader struct {
	origin *connector.Origin
	// parallel is the number of chunks stored at once; it bounds the memory too.
	parallel int
	attempts int
	sleep    func(context.Context, time.Duration) error
}

// upload stores all chunks and then the manifest, so that a manifest in the
// origin names only chunks that are there.
func (u *uploader) upload(ctx context.Context, file string, chunkSize int64, progress func(int64)) (*recorder.Manifest, recorder.Digest, error) {
	h, err := os.Open(file)
	if err != nil {
		return nil, recorder.Digest{}, &Error{Op: "read weights", Kind: classifier.Invalid, Err: errors.WithStack(err)}
	}
	defer func() { _ = h.Close() }()
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(u.parallel)
	var stored atomic.Int64
	seen := make(map[recorder.Digest]bool)
	m, err := recorder.NewManifest(h, chunkSize, func(d recorder.Digest, b []byte) error {
		if seen[d] {
			return gctx.Err()
		}
		seen[d] = true
		b = bytes.Clone(b)
		g.Go(func() error {
			if err := u.store(gctx, d, b); err != nil {
				return err
			}
			progress(stored.Add(1))
			return nil
		})
		return gctx.Err()
	})
	if werr := g.Wait(); werr != nil {
		return nil, recorder.Digest{}, werr
	}
	if err != nil {
		return nil, recorder.Digest{}, err
	}
	b, d, err := m.Encode()
	if err != nil {
		return nil, recorder.Digest{}, err
	}
	return m, d, u.store(ctx, d, b)
}

// Waits between attempts at one blob.
const (
	firstWait = 200 * time.Millisecond
	maxWait   = 10 * time.Second
)

// store writes one blob. Blobs are addressed by content, so a repeat after a
// lost reply is harmless. It waits as long as the origin asks for.
func (u *uploader) store(ctx context.Context, d recorder.Digest, b []byte) error {
	wait := firstWait
	for n := 1; ; n++ {
		err := u.origin.Store(ctx, d, b)
		if err == nil {
			return nil
		}
		switch classifier.Of(err) {
		case classifier.Exhausted, classifier.Unavailable, classifier.OutcomeUnknown, classifier.Timeout:
		default:
			return err
		}
		if n >= u.attempts || ctx.Err() != nil {
			// The blob alone has no effect, so nothing is unknown to the operator.
			return &Error{Op: fmt.Sprintf("%d attempts", n), Kind: classifier.Unavailable, Err: err}
		}
		var e *connector.Error
		pause := wait
		if errors.As(err, &e) && e.RetryAfter > 0 {
			pause = e.RetryAfter
		}
		if err := u.sleep(ctx, pause); err != nil {
			return &Error{Op: "store " + d.String(), Kind: classifier.Unavailable, Err: err}
		}
		wait = min(2*wait, maxWait)
	}
}

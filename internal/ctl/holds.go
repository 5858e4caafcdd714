package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/isolator"
)

const (
	// holdsTimeout limits one request to a gateway about what is held.
	holdsTimeout = 5 * time.Second
	// maxHoldsBytes bounds the response.
	maxHoldsBytes = 4 << 20
)

func (a *App) holdsCommand() *cli.Command {
	peers := &cli.StringFlag{Name: "peers", Usage: "peer `ADDRESS` of a gateway with direct dispatch", Required: true, Sources: cli.EnvVars("EELGRASS_PEERS")}
	return &cli.Command{
		Name: "holds", Usage: "show and release requests that are held because they ended endpoints", Flags: []cli.Flag{peers},
		Commands: []*cli.Command{
			{Name: "list", Usage: "show what is held, why, and until its next trial", Action: a.listHolds},
			{Name: "release", Usage: "send such requests again", ArgsUsage: "DIGEST", Action: a.releaseHold},
		},
	}
}

func (a *App) listHolds(ctx context.Context, c *cli.Command) error {
	var l []isolator.Hold
	if err := askGateway(ctx, c, http.MethodGet, "/v1/holds", &l); err != nil {
		return err
	}
	if c.String("output") == jsonForm {
		return writeJSON(a.Out, l)
	}
	w := tabwriter.NewWriter(a.Out, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DIGEST\tPART\tUNTIL\tTRIALS\tENDED")
	for _, h := range l {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", h.Digest, h.Part, h.Until.UTC().Format(time.RFC3339), h.Trials, len(h.Processes))
	}
	return w.Flush()
}

func (a *App) releaseHold(ctx context.Context, c *cli.Command) error {
	var d isolator.Digest
	if err := d.UnmarshalText([]byte(c.Args().First())); err != nil {
		return err
	}
	return askGateway(ctx, c, http.MethodDelete, "/v1/holds/"+d.String(), nil)
}

// askGateway sends a request to the gateway that --peers names and decodes the response into out,
// unless that is nil.
func askGateway(ctx context.Context, c *cli.Command, method, path string, out any) error {
	op := method + " " + path
	gateway, err := netip.ParseAddrPort(c.String("peers"))
	if err != nil {
		return fail(op, classifier.Invalid, "%v", err)
	}
	ctx, cancel := context.WithTimeout(ctx, holdsTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+gateway.String()+path, nil)
	if err != nil {
		return fail(op, classifier.Invalid, "%v", err)
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return fail(op, classifier.Unavailable, "%v", err)
	}
	defer func() { _ = r.Body.Close() }()
	switch {
	case r.StatusCode == http.StatusNotFound:
		return fail(op, classifier.NotFound, "nothing with this digest is held")
	case r.StatusCode != http.StatusOK:
		return fail(op, classifier.Unavailable, "status %d", r.StatusCode)
	case out == nil:
		return nil
	}
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxHoldsBytes)).Decode(out); err != nil {
		return fail(op, classifier.Invalid, "%v", err)
	}
	return nil
}

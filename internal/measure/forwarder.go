package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

func forwarderCommand() *cli.Command {
	return &cli.Command{
		Name: "forwarder", Usage: "forward requests to one target without any decision", Hidden: true,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Required: true},
			&cli.StringFlag{Name: "target", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			var l net.ListenConfig
			s, err := l.Listen(ctx, "tcp", c.String("listen"))
			if err != nil {
				return err
			}
			f := forwarder{c.String("target"), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
			return (&http.Server{Handler: f, ReadHeaderTimeout: 10 * time.Second}).Serve(s)
		},
	}
}

// forwarder copies requests and responses.
type forwarder struct {
	target string
	client *http.Client
}

// ServeHTTP implements http.Handler.
func (f forwarder) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		return
	}
	n, err := http.NewRequestWithContext(q.Context(), q.Method, f.target+q.URL.Path, q.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.Header, n.ContentLength = q.Header, q.ContentLength
	r, err := f.client.Do(n)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = r.Body.Close() }()
	for k, v := range r.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(r.StatusCode)
	flush := http.NewResponseController(w)
	b := make([]byte, 4<<10)
	for {
		k, err := r.Body.Read(b)
		if k > 0 {
			if _, e := w.Write(b[:k]); e != nil {
				return
			}
			_ = flush.Flush()
		}
		if err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

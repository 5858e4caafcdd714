package ctl

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/classifier"
	"github.com/eelgrassdrift/eelgrassdrift/recorder"
)

// keyBytes is the length of a new key before its encoding: 256 random bits.
const keyBytes = 32

func (a *App) keyCommand() *cli.Command {
	return &cli.Command{
		Name: "key", Usage: "print a new random key and its digest",
		Description: "Give the key to its owner and put the digest into key-digests of an operator or\nclient account. The key is not stored anywhere.",
		Action: func(_ context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}
			b := make([]byte, keyBytes)
			if _, err := io.ReadFull(a.Rand, b); err != nil {
				return &Error{Op: "make key", Kind: classifier.Internal, Err: errors.WithStack(err)}
			}
			key := base64.RawURLEncoding.EncodeToString(b)
			digest := recorder.DigestOf([]byte(key))
			if c.String("output") == jsonForm {
				return writeJSON(a.Out, map[string]any{"key": key, "digest": digest})
			}
			_, err := fmt.Fprintf(a.Out, "key     %s\ndigest  %s\n", key, digest)
			return printed(err)
		},
	}
}

package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/eelgrassdrift/eelgrassdrift/internal/standin"
)

// maxPorts bounds the number of ports of one call.
const maxPorts = 1000

func portsCommand() *cli.Command {
	return &cli.Command{
		Name: "ports", Usage: "print N free loopback ports, one a line", ArgsUsage: "N",
		Action: func(ctx context.Context, c *cli.Command) error {
			v := &values{c: c}
			n, err := strconv.Atoi(c.Args().First())
			if err != nil || n < 1 || n > maxPorts || c.Args().Len() != 1 {
				v.Add("N", c.Args().First(), fmt.Sprintf("one number from 1 to %d", maxPorts))
				return v.Err()
			}
			ports, err := standin.FreePorts(ctx, n)
			if err != nil {
				return err
			}
			for _, p := range ports {
				if _, err := fmt.Fprintln(c.Root().Writer, p); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

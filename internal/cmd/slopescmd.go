package cmd

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinscaling"
)

func (c *Config) slopesCmd() *cli.Command {
	return &cli.Command{
		Action: c.runSlopesCmd,
		Description: "Runs the code of each component in one process with a simulated clock and network, for several\n" +
			"numbers of members, and prints the costs of a daemon. The largest number takes about a minute.",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{
				Destination: &c.memberCounts, Name: "members", Value: savorypinscaling.Sizes,
				Usage: "`NUMBER` of members; may be repeated",
			},
		},
		Name:  "slopes",
		Usage: "measure how the cost of a daemon grows with the number of daemons",
	}
}

func (c *Config) runSlopesCmd(ctx context.Context, _ *cli.Command) error {
	for _, part := range savorypinscaling.Parts {
		for _, members := range c.memberCounts {
			if err := ctx.Err(); err != nil {
				return err
			}
			if members < 1 {
				return savorypin.Errorf(savorypin.KindInvalid, "--members", "%d is less than 1", members)
			}
			for _, row := range part.Measure(members) {
				fmt.Fprintf(c.stdout, "%-8s %4d members  %-28s %12.2f %s\n",
					part.Name, row.Members, row.Name, row.Value, row.Unit)
			}
		}
	}
	return nil
}

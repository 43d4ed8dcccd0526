package cmd

import (
	"context"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypindemo"
)

func (c *Config) demoCmd() *cli.Command {
	return &cli.Command{
		Action: c.runDemoCmd,
		Description: "Runs two regions with entries, agents, engines and a ledger in one process on loopback,\n" +
			"kills an engine in the middle of an answer and checks what each caller received.",
		Name:  "demo",
		Usage: "demonstrate the whole system under failures",
	}
}

func (c *Config) runDemoCmd(ctx context.Context, _ *cli.Command) error {
	logger, err := c.logger()
	if err != nil {
		return err
	}
	return savorypindemo.Run(ctx, savorypindemo.Config{Logger: logger, Out: c.stdout})
}

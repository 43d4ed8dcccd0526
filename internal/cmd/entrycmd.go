package cmd

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypincaller"
	"savorypin/internal/savorypinentry"
)

func (c *Config) entryCmd() *cli.Command {
	return &cli.Command{
		Action: c.runEntryCmd,
		Description: "Serves the callers' and the operators' API on --http and other daemons on --listen.\n" +
			"SIGTERM begins a planned stop; a second signal ends the process at once.",
		Flags: append(c.daemonFlags(), &cli.StringFlag{
			Destination: &c.anonymous, Name: "anonymous-organisation", Sources: env("ANONYMOUS_ORGANISATION"),
			Usage: "organisation of callers without a token; they are refused if it is empty",
		}, &cli.DurationFlag{
			Destination: &c.firstToken, Name: "first-token-limit", Sources: env("FIRST_TOKEN_LIMIT"),
			Usage: "longest estimated time to the first token with which new work begins",
			Value: savorypinentry.DefaultFirstTokenLimit,
		}, &cli.FloatFlag{
			Destination: &c.linkRate, Name: "link-bytes-per-second", Sources: env("LINK_BYTES_PER_SECOND"),
			Usage: "what the link between regions may carry for all entries of the region together",
			Value: 30e6 / 8,
		}, &cli.DurationFlag{
			Destination: &c.claimRetention, Name: "claim-retention", Sources: env("CLAIM_RETENTION"),
			Usage: "how long an idempotency key is kept; all entries need the same", Value: 24 * time.Hour,
		}),
		Name:  "entry",
		Usage: "run the daemon that callers and operators talk to",
	}
}

func (c *Config) runEntryCmd(ctx context.Context, _ *cli.Command) error {
	if err := c.checkDaemon(); err != nil {
		return err
	}
	logger, err := c.logger()
	if err != nil {
		return err
	}
	entry, err := savorypinentry.New(savorypinentry.Config{
		AnonymousOrganisation: c.anonymous,
		ClaimRetention:        c.claimRetention,
		FirstTokenLimit:       c.firstToken,
		LinkBytesPerSecond:    c.linkRate,
		Logger:                logger,
		Settings:              c.daemon,
	})
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, entry.Daemon().Stop)()
	return entry.Run(context.WithoutCancel(ctx), savorypincaller.NewHandler(entry))
}

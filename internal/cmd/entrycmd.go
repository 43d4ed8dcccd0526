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
			Destination: &c.anonymousOrganisation, Name: "anonymous-organisation", Sources: env("ANONYMOUS_ORGANISATION"),
			Usage: "organisation of callers without a token; they are refused if it is empty",
		}, &cli.DurationFlag{
			Destination: &c.firstTokenLimit, Name: "first-token-limit", Sources: env("FIRST_TOKEN_LIMIT"),
			Usage: "maximum estimated time to the first token at which new work is accepted",
			Value: savorypinentry.DefaultFirstTokenLimit,
		}, &cli.FloatFlag{
			Destination: &c.linkBytesPerSecond, Name: "link-bytes-per-second", Sources: env("LINK_BYTES_PER_SECOND"),
			Usage: "bandwidth of the link between regions that all entries of the region share",
			Value: 30e6 / 8,
		}, &cli.DurationFlag{
			Destination: &c.claimRetention, Name: "claim-retention", Sources: env("CLAIM_RETENTION"),
			Usage: "how long an idempotency key is kept; must be the same for all entries", Value: 24 * time.Hour,
		}),
		Name:  "entry",
		Usage: "run the daemon that serves callers and operators",
	}
}

func (c *Config) runEntryCmd(ctx context.Context, _ *cli.Command) error {
	if err := c.checkDaemonSettings(); err != nil {
		return err
	}
	logger, err := c.logger()
	if err != nil {
		return err
	}
	entry, err := savorypinentry.New(savorypinentry.Config{
		AnonymousOrganisation: c.anonymousOrganisation,
		ClaimRetention:        c.claimRetention,
		FirstTokenLimit:       c.firstTokenLimit,
		LinkBytesPerSecond:    c.linkBytesPerSecond,
		Logger:                logger,
		Settings:              c.daemon,
	})
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, entry.Daemon().Stop)()
	return entry.Run(context.WithoutCancel(ctx), savorypincaller.NewHandler(entry))
}

package cmd

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
)

func (c *Config) stopCmd() *cli.Command {
	return &cli.Command{
		Action:    c.runStopCmd,
		ArgsUsage: "MEMBER",
		Flags:     c.clientFlags(),
		Name:      "stop",
		Usage:     "order a planned stop of a daemon",
	}
}

func (c *Config) runStopCmd(ctx context.Context, cmd *cli.Command) error {
	member := cmd.Args().First()
	if err := savorypin.CheckName(member); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "MEMBER", "%w", err)
	}
	return c.stopMember(ctx, member)
}

// stopMember orders a planned stop of a member.
func (c *Config) stopMember(ctx context.Context, member string) error {
	if c.dryRun {
		fmt.Fprintf(c.stdout, "would stop %s\n", member)
		return nil
	}
	path := "/operator/v1/stop/" + url.PathEscape(member) + "?by=" + url.QueryEscape(c.operatorName)
	if err := c.operatorCall(ctx, http.MethodPost, path, nil, nil); err != nil {
		return err
	}
	fmt.Fprintf(c.stdout, "%s is stopping\n", member)
	return nil
}

package cmd

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
)

func (c *Config) stateCmd() *cli.Command {
	return &cli.Command{
		Action:    c.runStateCmd,
		ArgsUsage: "ADDRESS",
		Flags:     c.clientFlags(),
		Name:      "state",
		Usage:     "dump the state of the daemon at an HTTP address",
	}
}

func (c *Config) runStateCmd(ctx context.Context, cmd *cli.Command) error {
	address := cmd.Args().First()
	if err := checkAddress("ADDRESS", address); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "state", "%w", err)
	}
	c.baseURL = "http://" + address
	var dump any
	if err := c.operatorCall(ctx, http.MethodGet, "/state", nil, &dump); err != nil {
		return err
	}
	return c.printData(dump)
}

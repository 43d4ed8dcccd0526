package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypingateway"
	"savorypin/platform"
)

func (c *Config) gatewayCmd() *cli.Command {
	return &cli.Command{
		Action: c.runGatewayCmd,
		Description: "Relays callers' requests straight to endpoints, without agents beside them.\n" +
			"SIGTERM begins a planned stop, SIGHUP reads the settings file again.",
		Flags: []cli.Flag{&cli.StringFlag{
			Destination: &c.settings, Name: "settings", Usage: "`FILE` with the settings of the host",
			Value: platform.SettingsPath(),
		}},
		Name:  "gateway",
		Usage: "run the daemon that serves callers on the users' platform",
	}
}

func (c *Config) runGatewayCmd(ctx context.Context, _ *cli.Command) error {
	settings, err := platform.ReadSettings(c.settings)
	if err != nil {
		return err
	}
	c.stderr = c.stdout
	logger, err := c.logger()
	if err != nil {
		return err
	}
	gateway := savorypingateway.New(savorypingateway.Config{
		Codec:    platform.NewCodec(),
		Dialect:  platform.StoreDialect(),
		Logger:   logger,
		Objects:  platform.Objects(),
		Reload:   func() (savorypingateway.Settings, error) { return platform.ReadSettings(c.settings) },
		Settings: settings,
	})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	go func() {
		for range hangups {
			gateway.Reload()
		}
	}()
	return gateway.Run(ctx)
}

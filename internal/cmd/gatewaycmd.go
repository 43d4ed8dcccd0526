package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypingateway"
	"savorypin/platform"
)

// gatewayTimeFormat is the format of the time of a line; milliseconds tell the
// order of lines of several gateways.
const gatewayTimeFormat = "2006-01-02T15:04:05.000Z07:00"

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
	lines := savorypinevent.NewWriter(c.stdout)
	defer lines.Close()
	logger, err := c.loggerTo(lines)
	if err != nil {
		return err
	}
	logger.SetTimeFormat(gatewayTimeFormat)
	gateway := savorypingateway.New(savorypingateway.Config{
		Codec:    platform.NewCodec(),
		Dialect:  platform.StoreDialect(),
		Log:      savorypinevent.New(savorypinevent.Config{Logger: logger.With("gateway", settings.Name)}),
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

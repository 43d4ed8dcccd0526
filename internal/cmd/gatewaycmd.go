package cmd

import (
	"context"
	"math"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypingateway"
	"savorypin/platform"
)

func (c *Config) gatewayCmd() *cli.Command {
	return &cli.Command{
		Action: c.runGatewayCmd,
		Description: "Relays callers' requests directly to endpoints, without agents beside them.\n" +
			"SIGTERM begins a planned stop, SIGHUP reloads the settings file.",
		Flags: []cli.Flag{&cli.StringFlag{
			Destination: &c.settingsPath, Name: "settings", Usage: "`FILE` with the settings of the host",
			Value: platform.SettingsPath(),
		}, &cli.IntFlag{
			Destination: &c.metricsPort, Name: "metrics-port", Sources: env("METRICS_PORT"),
			Usage: "`PORT` of the metrics and the state dump; 0 means the last port that the settings file gives to daemons",
		}, &cli.StringFlag{
			Destination: &c.peerKey, Name: "peer-key", Sources: env("PEER_KEY"),
			Usage: "`KEY` that gateways share, of 16 bytes or more; without one they accept messages from anyone who can reach their port",
		}, &cli.StringFlag{
			Destination: &c.peerKeyAlso, Name: "peer-key-also", Sources: env("PEER_KEY_ALSO"),
			Usage: "second `KEY` that is accepted while the shared key is being replaced",
		}},
		Name:  "gateway",
		Usage: "run the daemon that serves callers on the users' platform",
	}
}

func (c *Config) runGatewayCmd(ctx context.Context, _ *cli.Command) error {
	settings, err := c.readSettings()
	if err != nil {
		return err
	}
	logWriter := savorypinevent.NewWriter(c.stdout)
	defer logWriter.Close()
	logger, err := c.loggerTo(logWriter)
	if err != nil {
		return err
	}
	logger.SetTimeFormat(savorypinevent.TimeFormat)
	gateway := savorypingateway.New(savorypingateway.Config{
		Codec:    platform.NewCodec(),
		Dialect:  platform.StoreDialect(),
		Log:      savorypinevent.New(savorypinevent.Config{Logger: logger.With("gateway", settings.Name)}),
		Objects:  platform.Objects(),
		Reload:   c.readSettings,
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

// checkPeerKeys checks --peer-key and --peer-key-also.
func (c *Config) checkPeerKeys() error {
	for _, key := range []struct{ flag, value string }{{"--peer-key", c.peerKey}, {"--peer-key-also", c.peerKeyAlso}} {
		if key.value != "" && len(key.value) < minKeyBytes {
			return savorypin.Errorf(savorypin.KindInvalid, key.flag, "is shorter than %d bytes", minKeyBytes)
		}
	}
	if c.peerKey == "" && c.peerKeyAlso != "" {
		return savorypin.Errorf(savorypin.KindInvalid, "--peer-key-also", "needs --peer-key")
	}
	return nil
}

// readSettings checks the flags and reads the settings file.
func (c *Config) readSettings() (savorypingateway.Settings, error) {
	if err := c.checkPeerKeys(); err != nil {
		return savorypingateway.Settings{}, err
	}
	settings, err := platform.ReadSettings(c.settingsPath)
	if err != nil {
		return savorypingateway.Settings{}, savorypin.Errorf(savorypin.KindInvalid, "--settings", "%w", err)
	}
	if c.metricsPort < 0 || c.metricsPort > math.MaxUint16 {
		return savorypingateway.Settings{}, savorypin.Errorf(savorypin.KindInvalid, "--metrics-port", "%d is not a port", c.metricsPort)
	}
	settings.PeerKeys = []string{c.peerKey, c.peerKeyAlso}
	if c.metricsPort != 0 {
		settings.MetricsPort = c.metricsPort
	}
	return settings, nil
}

package cmd

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypinstandin"
)

// standinConfig holds the settings of the standin commands.
type standinConfig struct {
	engine savorypinstandin.EngineConfig
	listen string
}

func (c *Config) standinCmd() *cli.Command {
	return &cli.Command{
		Commands: []*cli.Command{
			{
				Action: func(ctx context.Context, _ *cli.Command) error {
					return c.serveStandin(ctx, savorypinstandin.NewEngine(c.standin.engine))
				},
				Flags: append(c.standinFlags(), c.engineFlags()...),
				Name:  "engine",
				Usage: "run a stand-in for a model engine",
			},
			{
				Action: func(ctx context.Context, _ *cli.Command) error {
					return c.serveStandin(ctx, savorypinstandin.NewPlatform())
				},
				Flags: c.standinFlags(),
				Name:  "platform",
				Usage: "run a stand-in for the platform",
			},
			{
				Action: func(ctx context.Context, _ *cli.Command) error {
					return c.serveStandin(ctx, savorypinstandin.NewLedger())
				},
				Flags: c.standinFlags(),
				Name:  "service",
				Usage: "run a stand-in for a plain service",
			},
		},
		Name:  "standin",
		Usage: "run a stand-in for an external system, for manual tests",
	}
}

func (c *Config) standinFlags() []cli.Flag {
	return []cli.Flag{&cli.StringFlag{
		Destination: &c.standin.listen, Name: "http", Value: "127.0.0.1:0",
		Usage: "`IP:PORT` to listen on",
	}}
}

func (c *Config) engineFlags() []cli.Flag {
	e := &c.standin.engine
	return []cli.Flag{
		&cli.BoolFlag{
			Destination: &e.ChecksFence, Name: "checks-fence",
			Usage: "reject orders with an outdated fencing number",
		},
		&cli.DurationFlag{
			Destination: &e.LoadTime, Name: "load-time", Value: time.Second,
			Usage: "time to load a model",
		},
		&cli.StringSliceFlag{
			Destination: &e.Models, Name: "model",
			Usage: "model that is loaded at the start; may be repeated",
		},
		&cli.FloatFlag{
			Destination: &e.PrefillPerSecond, Name: "prefill-per-second", Value: defaultPrefillPerSecond,
			Usage: "prefill rate, in tokens per second",
		},
		&cli.IntFlag{
			Destination: &e.Slots, Name: "slots", Value: defaultSlots,
			Usage: "maximum number of concurrent requests",
		},
		&cli.FloatFlag{
			Destination: &e.TokensPerSecond, Name: "tokens-per-second", Value: defaultTokensPerSecond,
			Usage: "decoding rate of one request, in tokens per second",
		},
	}
}

// serveStandin serves a stand-in until ctx ends.
func (c *Config) serveStandin(ctx context.Context, handler http.Handler) error {
	ln, err := net.Listen("tcp", c.standin.listen)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", c.standin.listen, err)
	}
	fmt.Fprintf(c.stdout, "listening on http://%s\n", ln.Addr())
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	defer context.AfterFunc(ctx, func() { server.Close() })()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

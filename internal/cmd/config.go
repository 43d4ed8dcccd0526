// Package cmd implements the command line of savorypin, with one file for each
// command.
package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinwhere"
)

// envPrefix is the prefix of the environment variables that set flags.
const envPrefix = "SAVORYPIN_"

// Exit codes of the commands.
const (
	exitOK          = 0
	exitFailure     = 1
	exitInvalid     = 2
	exitNotFound    = 3
	exitConflict    = 4
	exitUnreachable = 5
	exitRefused     = 6
)

// Config holds the settings of all commands. Commands are its methods.
type Config struct {
	anonymousOrganisation string
	operatorName          string
	claimRetention        time.Duration
	daemon                savorypindaemon.Settings
	dryRun                bool
	baseURL               string
	files                 []string
	firstTokenLimit       time.Duration
	linkBytesPerSecond    float64
	logFormat             string
	logLevel              string
	metricsPort           int
	output                string
	peerKey               string
	peerKeyAlso           string
	settingsPath          string
	memberCounts          []int
	standin               standinConfig
	stderr                io.Writer
	stdin                 io.Reader
	stdout                io.Writer
	wait                  bool
	where                 savorypinwhere.Query
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// Restore the default handling, so that a second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	c := &Config{stderr: stderr, stdin: os.Stdin, stdout: stdout}
	err := c.rootCmd().Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "savorypin: %v\n", err)
	return exitCode(err)
}

// exitCode returns the exit code that tells scripts the kind of an error.
func exitCode(err error) int {
	var e *savorypin.Error
	if !errors.As(err, &e) {
		return exitFailure
	}
	switch e.Kind {
	case savorypin.KindConflict:
		return exitConflict
	case savorypin.KindInvalid:
		return exitInvalid
	case savorypin.KindLimited, savorypin.KindNotRun, savorypin.KindUnauthorized:
		return exitRefused
	case savorypin.KindNotFound:
		return exitNotFound
	case savorypin.KindUnreachable:
		return exitUnreachable
	case savorypin.KindIncomplete, savorypin.KindUnknown:
		return exitFailure
	default:
		return exitFailure
	}
}

func (c *Config) rootCmd() *cli.Command {
	return &cli.Command{
		Commands: []*cli.Command{
			c.agentCmd(),
			c.applyCmd(),
			c.demoCmd(),
			c.doCmd(),
			c.entryCmd(),
			c.explainCmd(),
			c.gatewayCmd(),
			c.getCmd(),
			c.moveCmd(),
			c.slopesCmd(),
			c.standinCmd(),
			c.stateCmd(),
			c.stopCmd(),
			c.whereCmd(),
		},
		Description:           "Savorypin relays generations and plain calls from callers to endpoints and recovers from endpoint failures.",
		EnableShellCompletion: true,
		ErrWriter:             c.stderr,
		// Main prints the error and returns the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Flags:          c.logFlags(),
		Name:           "savorypin",
		Suggest:        true,
		Usage:          "serve long generations on engines that fail",
		Writer:         c.stdout,
	}
}

func (c *Config) logFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Destination: &c.logFormat,
			Name:        "log-format",
			Sources:     env("LOG_FORMAT"),
			Usage:       "format of the logs: json, logfmt or text",
			Value:       "text",
		},
		&cli.StringFlag{
			Destination: &c.logLevel,
			Name:        "log-level",
			Sources:     env("LOG_LEVEL"),
			Usage:       "minimum level of log lines: debug, info, warn or error",
			Value:       "info",
		},
	}
}

// logger returns a logger to standard error with the level and format of the flags.
func (c *Config) logger() (*log.Logger, error) {
	return c.loggerTo(c.stderr)
}

// loggerTo returns a logger to w with the level and format of the flags.
func (c *Config) loggerTo(w io.Writer) (*log.Logger, error) {
	level, err := log.ParseLevel(c.logLevel)
	if err != nil {
		return nil, savorypin.Errorf(savorypin.KindInvalid, "--log-level", "%q is not debug, info, warn or error", c.logLevel)
	}
	formatters := map[string]log.Formatter{
		"json":   log.JSONFormatter,
		"logfmt": log.LogfmtFormatter,
		"text":   log.TextFormatter,
	}
	formatter, ok := formatters[c.logFormat]
	if !ok {
		return nil, savorypin.Errorf(savorypin.KindInvalid, "--log-format", "%q is not json, logfmt or text", c.logFormat)
	}
	return log.NewWithOptions(w, log.Options{
		Formatter:       formatter,
		Level:           level,
		ReportTimestamp: true,
	}), nil
}

func env(name string) cli.ValueSourceChain {
	return cli.EnvVars(envPrefix + name)
}

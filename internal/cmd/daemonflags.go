package cmd

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"time"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypindaemon"
)

// defaultLeaseDuration is the default time that a control lease is valid after a renewal.
const defaultLeaseDuration = 15 * time.Second

// minLeaseDuration limits the rate of the platform calls that renew leases.
const minLeaseDuration = time.Second

// defaultStopGrace is the default time that running work may take to finish at a
// planned stop.
const defaultStopGrace = time.Minute

// defaultWeightLoads is the default limit of concurrent loads from the weight store: the
// number that the store can serve at the same time.
const defaultWeightLoads = 4

// minKeyBytes is the minimum length of a key that daemons share.
const minKeyBytes = 16

// daemonFlags returns the flags that entries and agents have in common.
func (c *Config) daemonFlags() []cli.Flag {
	s := &c.daemon
	return []cli.Flag{
		&cli.IntFlag{
			Destination: &s.AnswerBytes, Name: "answer-bytes", Sources: env("ANSWER_BYTES"),
			Value: savorypindaemon.DefaultAnswerBytes,
			Usage: "maximum memory for answers, in bytes; further work is refused",
		},
		&cli.DurationFlag{
			Destination: &s.CallerGrace, Name: "caller-grace", Sources: env("CALLER_GRACE"),
			Value: savorypindaemon.DefaultCallerGrace,
			Usage: "how long a generation continues without a caller; 0 means the default",
		},
		&cli.IntFlag{
			Destination: &s.ConnectionBytes, Name: "connection-bytes", Sources: env("CONNECTION_BYTES"),
			Value: savorypindaemon.DefaultConnectionBytes,
			Usage: "maximum memory for HTTP connections whose request is not complete, in bytes; beyond it those that held most for longest are closed",
		},
		&cli.StringFlag{
			Destination: &s.Domain, Name: "domain", Sources: env("DOMAIN"),
			Usage: "failure domain of the host",
		},
		&cli.StringFlag{
			Destination: &s.HTTP, Name: "http", Sources: env("HTTP"), Value: "127.0.0.1:0",
			Usage: "`IP:PORT` for callers, operators and scrapers",
		},
		&cli.StringFlag{
			Destination: &s.Key, Name: "key", Sources: env("KEY"),
			Usage: "shared key with which daemons authenticate to each other; set it through the environment",
		},
		&cli.DurationFlag{
			Destination: &s.LeaseDuration, Name: "lease-duration", Sources: env("LEASE_DURATION"), Value: defaultLeaseDuration,
			Usage: "how long a control lease is valid after a renewal; must be the same for all daemons",
		},
		&cli.StringFlag{
			Destination: &s.Listen, Name: "listen", Sources: env("LISTEN"), Value: "127.0.0.1:0",
			Usage: "`IP:PORT` for other daemons",
		},
		&cli.StringFlag{
			Destination: &s.Name, Name: "name", Sources: env("NAME"),
			Usage: "name of the daemon, unique in the system",
		},
		&cli.StringFlag{
			Destination: &s.OperatorToken, Name: "operator-token", Sources: env("OPERATOR_TOKEN"),
			Usage: "bearer token of the operators; set it through the environment",
		},
		&cli.StringFlag{
			Destination: &s.Platform, Name: "platform", Sources: env("PLATFORM"),
			Usage: "base `URL` of the platform",
		},
		&cli.StringFlag{
			Destination: &s.PlatformToken, Name: "platform-token", Sources: env("PLATFORM_TOKEN"),
			Usage: "bearer token for the platform; set it through the environment",
		},
		&cli.StringFlag{
			Destination: &s.Region, Name: "region", Sources: env("REGION"),
			Usage: "region of the failure domain",
		},
		&cli.StringSliceFlag{
			Destination: &s.Seeds, Name: "seed", Sources: env("SEEDS"),
			Usage: "`IP:PORT` of a daemon to contact at the start; may be repeated",
		},
		&cli.DurationFlag{
			Destination: &s.StopGrace, Name: "stop-grace", Sources: env("STOP_GRACE"), Value: defaultStopGrace,
			Usage: "how long running work may take to finish at a planned stop",
		},
		&cli.IntFlag{
			Destination: &s.WeightLoads, Name: "weight-loads", Sources: env("WEIGHT_LOADS"), Value: defaultWeightLoads,
			Usage: "maximum number of concurrent loads that the weight store can serve; must be the same for all daemons",
		},
	}
}

// checkDaemonSettings returns one error that names every bad setting of a daemon,
// joined with the errors in extra.
func (c *Config) checkDaemonSettings(extra ...error) error {
	s := &c.daemon
	errs := []error{
		checkBytes("--answer-bytes", s.AnswerBytes),
		checkBytes("--connection-bytes", s.ConnectionBytes),
		checkCallerGrace(s.CallerGrace),
		checkNotEmpty("--domain", s.Domain),
		checkAddress("--http", s.HTTP),
		checkKey(s.Key),
		checkLeaseDuration(s.LeaseDuration),
		checkAddress("--listen", s.Listen),
		checkMemberName(s.Name),
		checkNotEmpty("--operator-token", s.OperatorToken),
		checkURL("--platform", s.Platform),
		checkNotEmpty("--region", s.Region),
		checkStopGrace(s.StopGrace),
		checkWeightLoads(s.WeightLoads),
	}
	for _, seed := range s.Seeds {
		errs = append(errs, checkAddress("--seed", seed))
	}
	errs = append(errs, extra...)
	if err := errors.Join(errs...); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "settings", "%w", err)
	}
	return nil
}

func checkAddress(flag, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("%s: %q is not an IP address and port", flag, address)
	}
	return nil
}

func checkBytes(flag string, n int) error {
	if n < 0 {
		return fmt.Errorf("%s: %d is negative", flag, n)
	}
	return nil
}

func checkCallerGrace(d time.Duration) error {
	if d < 0 {
		return fmt.Errorf("--caller-grace: %s is negative", d)
	}
	return nil
}

func checkStopGrace(d time.Duration) error {
	if d < 0 {
		return fmt.Errorf("--stop-grace: %s is negative", d)
	}
	return nil
}

func checkKey(key string) error {
	if len(key) < minKeyBytes {
		return fmt.Errorf("--key: is shorter than %d bytes", minKeyBytes)
	}
	return nil
}

func checkLeaseDuration(d time.Duration) error {
	if d < minLeaseDuration {
		return fmt.Errorf("--lease-duration: %s is shorter than %s", d, minLeaseDuration)
	}
	return nil
}

func checkMemberName(name string) error {
	if err := savorypin.CheckName(name); err != nil {
		return fmt.Errorf("--name: %w", err)
	}
	return nil
}

func checkNotEmpty(flag, value string) error {
	if value == "" {
		return fmt.Errorf("%s: is missing", flag)
	}
	return nil
}

func checkWeightLoads(n int) error {
	if n < 1 {
		return fmt.Errorf("--weight-loads: %d is less than 1", n)
	}
	return nil
}

func checkURL(flag, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%s: %q is not an http or https URL", flag, value)
	}
	return nil
}

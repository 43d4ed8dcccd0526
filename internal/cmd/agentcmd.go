package cmd

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinagent"
)

// Defaults of the optional fields of --endpoint.
const (
	defaultMaxVersions      = 2
	defaultPrefillPerSecond = 8000
	defaultSlots            = 32
	defaultTokensPerSecond  = 30
)

func (c *Config) agentCmd() *cli.Command {
	var endpoints []string
	return &cli.Command{
		Action: func(ctx context.Context, _ *cli.Command) error {
			return c.runAgentCmd(ctx, endpoints)
		},
		Description: "Runs beside the endpoints given by --endpoint and serves other daemons on --listen.\n" +
			"An endpoint is written as name=e1;type=engine;service=assistant;url=http://127.0.0.1:9000\n" +
			"with the optional fields max-versions=2;slots=32;tokens-per-second=30;prefill-per-second=8000;checks-fence=true.\n" +
			"The type is engine or plain.",
		Flags: append(c.daemonFlags(), &cli.StringSliceFlag{
			Destination: &endpoints, Name: "endpoint", Sources: env("ENDPOINTS"),
			Usage: "endpoint beside the agent; may be repeated",
		}),
		Name:  "agent",
		Usage: "run the daemon beside endpoints",
	}
}

func (c *Config) runAgentCmd(ctx context.Context, raw []string) error {
	endpoints, err := parseEndpoints(raw)
	if err := c.checkDaemonSettings(err); err != nil {
		return err
	}
	logger, err := c.logger()
	if err != nil {
		return err
	}
	agent, err := savorypinagent.New(savorypinagent.Config{
		Endpoints: endpoints,
		Logger:    logger,
		Settings:  c.daemon,
	})
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, agent.Daemon().Stop)()
	return agent.Run(context.WithoutCancel(ctx))
}

func parseEndpoints(raw []string) ([]savorypinagent.EndpointConfig, error) {
	if len(raw) == 0 {
		return nil, errors.New("--endpoint: is missing")
	}
	var endpoints []savorypinagent.EndpointConfig
	var errs []error
	names := map[string]bool{}
	for _, text := range raw {
		e, err := parseEndpoint(text)
		if err == nil && names[e.Name] {
			err = fmt.Errorf("duplicate name %q", e.Name)
		}
		if err != nil {
			errs = append(errs, fmt.Errorf("--endpoint %q: %w", text, err))
			continue
		}
		names[e.Name] = true
		endpoints = append(endpoints, e)
	}
	return endpoints, errors.Join(errs...)
}

func parseEndpoint(text string) (savorypinagent.EndpointConfig, error) {
	e := savorypinagent.EndpointConfig{
		MaxVersions:      defaultMaxVersions,
		PrefillPerSecond: defaultPrefillPerSecond,
		Slots:            defaultSlots,
		TokensPerSecond:  defaultTokensPerSecond,
	}
	var errs []error
	for part := range strings.SplitSeq(text, ";") {
		key, value, _ := strings.Cut(part, "=")
		errs = append(errs, setEndpointField(&e, key, value))
	}
	errs = append(errs, savorypin.CheckName(e.Name), checkURL("url", e.URL), checkNotEmpty("service", e.Service))
	if e.Type != savorypin.EndpointEngine && e.Type != savorypin.EndpointPlain {
		errs = append(errs, fmt.Errorf("type: %q is not engine or plain", e.Type))
	}
	if e.MaxVersions <= 0 || e.PrefillPerSecond <= 0 || e.Slots <= 0 || e.TokensPerSecond <= 0 {
		errs = append(errs, errors.New("max-versions, slots and rates must be greater than 0"))
	}
	return e, errors.Join(errs...)
}

func setEndpointField(e *savorypinagent.EndpointConfig, key, value string) error {
	var err error
	switch key {
	case "checks-fence":
		e.ChecksFence, err = strconv.ParseBool(value)
	case "max-versions":
		e.MaxVersions, err = strconv.Atoi(value)
	case "name":
		e.Name = value
	case "prefill-per-second":
		e.PrefillPerSecond, err = strconv.ParseFloat(value, 64)
	case "service":
		e.Service = value
	case "slots":
		e.Slots, err = strconv.Atoi(value)
	case "tokens-per-second":
		e.TokensPerSecond, err = strconv.ParseFloat(value, 64)
	case "type":
		e.Type = savorypin.EndpointType(value)
	case "url":
		e.URL = value
	default:
		err = fmt.Errorf("unknown field %q", key)
	}
	return err
}

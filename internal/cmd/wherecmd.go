package cmd

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinwhere"
)

func (c *Config) whereCmd() *cli.Command {
	return &cli.Command{
		Action:    c.runWhereCmd,
		ArgsUsage: "ADDRESS",
		Description: "Asks the gateway whose metrics are at ADDRESS where a request would go now, and why. The request is\n" +
			"not sent, and nothing changes at the gateway.",
		Flags: append(c.whereFlags(), c.outputFlag()),
		Name:  "where",
		Usage: "explain where a gateway would send a request now",
	}
}

// whereFlags returns the flags that describe the request.
func (c *Config) whereFlags() []cli.Flag {
	q := &c.where
	return []cli.Flag{
		&cli.Int64Flag{Destination: &q.BodyBytes, Name: "body-bytes", Usage: "size of the body in `BYTES`"},
		&cli.DurationFlag{Destination: &q.Deadline, Name: "deadline", Usage: "`TIME` for which the caller waits; 0 means that of the route"},
		&cli.StringFlag{Destination: &q.Host, Name: "host", Usage: "`HOST` of the request, by which its route is found", Required: true},
		&cli.StringFlag{Destination: &q.Method, Name: "method", Usage: "`METHOD` of the request", Value: http.MethodPost},
		&cli.StringFlag{Destination: &q.Organisation, Name: "organisation", Usage: "`NAME` of the caller's organisation; none means a caller without a key"},
		&cli.IntFlag{Destination: &q.OutputTokens, Name: "output-tokens", Usage: "most `TOKENS` of the response; 0 means unknown"},
		&cli.StringSliceFlag{
			Destination: &q.PromptParts, Name: "part",
			Usage: "`ID` of a part of the prompt; repeat it in order, the last one is the prompt's own",
		},
		&cli.StringFlag{Destination: &q.Path, Name: "path", Usage: "`PATH` of the request, by which its route is found", Required: true},
		&cli.IntFlag{Destination: &q.PromptTokens, Name: "prompt-tokens", Usage: "`TOKENS` of the prompt; 0 means unknown"},
	}
}

func (c *Config) runWhereCmd(ctx context.Context, cmd *cli.Command) error {
	address := cmd.Args().First()
	if err := checkAddress("ADDRESS", address); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "where", "%w", err)
	}
	if err := c.checkOutput(); err != nil {
		return err
	}
	if err := c.where.Validate(); err != nil {
		return savorypin.Errorf(savorypin.KindInvalid, "where", "%w", err)
	}
	c.baseURL = "http://" + address
	var data json.RawMessage
	if err := c.operatorCall(ctx, http.MethodGet, savorypinwhere.Path+"?"+c.where.Values().Encode(), nil, &data); err != nil {
		return err
	}
	if c.output != outputTable {
		return c.printData(data)
	}
	var answer savorypinwhere.Answer
	if err := json.Unmarshal(data, &answer); err != nil {
		return savorypin.Errorf(savorypin.KindUnreachable, c.baseURL, "decode response: %w", err)
	}
	return savorypinwhere.Render(c.stdout, answer)
}

// checkOutput returns an error if --output is unknown.
func (c *Config) checkOutput() error {
	switch c.output {
	case "json", outputTable, "yaml":
		return nil
	}
	return savorypin.Errorf(savorypin.KindInvalid, "--output", "%q is not json, table or yaml", c.output)
}

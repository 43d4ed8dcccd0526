package cmd

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinexplain"
)

func (c *Config) explainCmd() *cli.Command {
	return &cli.Command{
		Action:    c.runExplainCmd,
		ArgsUsage: "REQUEST-ID [LOG...], or --causes [LOG...]",
		Description: "Reads the logs of gateways, or the standard input if none is named, and tells what\n" +
			"happened to a request, over all gateways, and what they believed then. With --causes\n" +
			"it counts why all requests ended as they did.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagCauses, Usage: "count why requests ended as they did"},
		},
		Name:  "explain",
		Usage: "tell from logs what happened to a request, or to all",
	}
}

// flagCauses asks for the causes of all requests' ends in place of one request.
const flagCauses = "causes"

func (c *Config) runExplainCmd(_ context.Context, cmd *cli.Command) error {
	if cmd.Bool(flagCauses) {
		lines, err := c.readLogs(cmd.Args().Slice())
		if err != nil {
			return err
		}
		return savorypinexplain.WriteCauses(c.stdout, savorypinexplain.Causes(lines))
	}
	id := cmd.Args().First()
	if id == "" {
		return savorypin.Errorf(savorypin.KindInvalid, "REQUEST-ID", "is missing")
	}
	lines, err := c.readLogs(cmd.Args().Tail())
	if err != nil {
		return err
	}
	account, err := savorypinexplain.Explain(id, lines)
	if err != nil {
		return savorypin.Errorf(savorypin.KindNotFound, "logs", "%w", err)
	}
	return account.Write(c.stdout)
}

// readLogs reads the named logs, or the standard input if none is named.
func (c *Config) readLogs(files []string) ([]savorypinexplain.Line, error) {
	if len(files) == 0 {
		return readLog("standard input", c.stdin)
	}
	var lines []savorypinexplain.Line
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, savorypin.Errorf(savorypin.KindNotFound, name, "%w", err)
		}
		more, err := readLog(name, f)
		if closeErr := f.Close(); err == nil && closeErr != nil {
			err = fmt.Errorf("close %s: %w", name, closeErr)
		}
		if err != nil {
			return nil, err
		}
		lines = append(lines, more...)
	}
	return lines, nil
}

func readLog(name string, r io.Reader) ([]savorypinexplain.Line, error) {
	lines, err := savorypinexplain.Read(r)
	if err != nil {
		return nil, savorypin.Errorf(savorypin.KindInvalid, name, "%w", err)
	}
	return lines, nil
}

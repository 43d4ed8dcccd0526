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
		Description: "Reads gateway logs, or standard input if no log is given, and reports what happened to a\n" +
			"request at all gateways, with the state changes that these gateways logged around it.\n" +
			"With --causes it counts all requests by how and why they ended.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagCauses, Usage: "count all requests by how and why they ended"},
		},
		Name:  "explain",
		Usage: "report from gateway logs what happened to a request, or to all requests",
	}
}

// flagCauses is the flag that counts all requests by how and why they ended, instead of
// reporting on one request.
const flagCauses = "causes"

func (c *Config) runExplainCmd(_ context.Context, cmd *cli.Command) error {
	if cmd.Bool(flagCauses) {
		lines, err := c.readLogs(cmd.Args().Slice())
		if err != nil {
			return err
		}
		return savorypinexplain.WriteCauses(c.stdout, savorypinexplain.CountCauses(lines))
	}
	id := cmd.Args().First()
	if id == "" {
		return savorypin.Errorf(savorypin.KindInvalid, "REQUEST-ID", "is missing")
	}
	lines, err := c.readLogs(cmd.Args().Tail())
	if err != nil {
		return err
	}
	report, err := savorypinexplain.Explain(id, lines)
	if err != nil {
		return savorypin.Errorf(savorypin.KindNotFound, "logs", "%w", err)
	}
	return report.Write(c.stdout)
}

// readLogs reads the given log files, or standard input if there are none.
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

package cmd

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlanguage"
)

func (c *Config) doCmd() *cli.Command {
	return &cli.Command{
		Action:    c.runDoCmd,
		ArgsUsage: "[STATEMENT]",
		Description: "Executes one statement of the query and command language. Without one it reads statements line by\n" +
			"line: on a terminal from a prompt with history and completion, otherwise from standard input.\n" +
			"The statement help lists all statements.",
		Flags: append(c.clientFlags(),
			&cli.BoolFlag{Destination: &c.dryRun, Name: "dry-run", Usage: "only print what an order would change"}),
		HideHelpCommand: true,
		Name:            "do",
		Usage:           "query what runs where, and order moves, rollbacks, limits and planned stops",
	}
}

func (c *Config) runDoCmd(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return c.runStatement(ctx, strings.Join(cmd.Args().Slice(), " "))
	}
	if isTerminal(os.Stdin) {
		return c.runPrompt(ctx)
	}
	return c.runStatements(ctx, os.Stdin)
}

// runStatements executes one statement for each line and stops at the first error.
// It skips empty lines and lines that begin with #.
func (c *Config) runStatements(ctx context.Context, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	for n := 1; scanner.Scan(); n++ {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.runStatement(ctx, line); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	return scanner.Err()
}

// runStatement parses and executes one statement.
func (c *Config) runStatement(ctx context.Context, text string) error {
	statement, err := savorypinlanguage.Parse(text)
	if err != nil {
		return withColumnMark(text, err)
	}
	if err := c.execute(ctx, statement); err != nil {
		return withColumnMark(text, err)
	}
	return nil
}

// execute executes a parsed statement.
func (c *Config) execute(ctx context.Context, s *savorypinlanguage.Statement) error {
	switch {
	case s.Count != nil:
		return c.count(ctx, s.Count)
	case s.Drain != nil:
		return c.orderDrain(ctx, s.Drain.Endpoint.Text, true)
	case s.Explain != nil:
		return c.explain(ctx, s.Explain)
	case s.Go != nil:
		return c.orderMoveAction(ctx, s.Go.Name.Text, savorypin.MoveGo)
	case s.Hasten != nil:
		return c.orderHasten(ctx, s.Hasten)
	case s.Help:
		_, err := fmt.Fprint(c.stdout, languageHelp)
		return err
	case s.Hold != nil:
		return c.orderMoveAction(ctx, s.Hold.Name.Text, savorypin.MoveHold)
	case s.Limit != nil:
		return c.orderLimit(ctx, s.Limit)
	case s.Move != nil:
		return c.orderMove(ctx, s.Move)
	case s.Rollback != nil:
		return c.orderMoveAction(ctx, s.Rollback.Name.Text, savorypin.MoveRollback)
	case s.Show != nil:
		return c.show(ctx, s.Show)
	case s.Stop != nil:
		return c.orderStop(ctx, s.Stop)
	case s.Undrain != nil:
		return c.orderDrain(ctx, s.Undrain.Endpoint.Text, false)
	default:
		return c.runWait(ctx, s.Wait)
	}
}

// withColumnMark adds the statement and a caret below the bad column to an error of
// the language. It returns other errors unchanged.
func withColumnMark(text string, err error) error {
	var languageErr *savorypinlanguage.Error
	if !errors.As(err, &languageErr) {
		return err
	}
	caret := strings.Repeat(" ", languageErr.Column()-1) + "^"
	return savorypin.Errorf(savorypin.KindInvalid, "", "%w\n  %s\n  %s", err, text, caret)
}

const languageHelp = `show SUBJECT [where FIELD OP VALUE [and ...]] [sort by FIELD [desc]] [limit N]
count SUBJECT [where ...] [by FIELD]
    subjects: domains endpoints generations hosts members moves organisations regions routes services versions
    operators: = != < <= > >= ~ (contains)
move SERVICE from VERSION to VERSION [as NAME] [start TIME] by TIME | in DURATION
hold MOVE | go MOVE | rollback MOVE | hasten MOVE by TIME | hasten MOVE in DURATION
limit ORGANISATION [concurrency=N] [requests=N] [tokens=N] [weight=N]
drain ENDPOINT | undrain ENDPOINT
stop MEMBER | stop domain DOMAIN
wait move MOVE [for DURATION] | wait stop MEMBER [for DURATION]
explain move MOVE | explain share SERVICE | explain refusals ORGANISATION
help
    times are like 2026-12-05T06:00:00Z, durations like 30m
`

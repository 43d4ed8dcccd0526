package cmd

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/peterh/liner"

	"savorypin/internal/savorypinquery"
)

// keywords are the words of the language that the prompt completes, sorted.
var keywords = []string{
	"and", "as", "by", "count", "drain", "explain", "for", "from", "go", "hasten", "help", "hold", "in", "limit",
	"move", "refusals", "rollback", "share", "show", "sort", "start", "stop", "to", "undrain", "wait", "where",
}

// isTerminal reports whether a file is a terminal.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// runPrompt executes statements from a terminal until end of input or Ctrl-C. It
// prints the error of a statement and goes on with the next one.
func (c *Config) runPrompt(ctx context.Context) error {
	line := liner.NewLiner()
	defer func() { _ = line.Close() }()
	line.SetCtrlCAborts(true)
	names := c.completionNames(ctx)
	line.SetWordCompleter(func(text string, pos int) (string, []string, string) {
		return completeWord(names, text, pos)
	})
	for ctx.Err() == nil {
		text, err := line.Prompt("savorypin> ")
		if errors.Is(err, io.EOF) || errors.Is(err, liner.ErrPromptAborted) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read statement: %w", err)
		}
		if strings.TrimSpace(text) == "" {
			continue
		}
		line.AppendHistory(text)
		if err := c.runStatement(ctx, text); err != nil {
			fmt.Fprintf(c.stderr, "%v\n", err)
		}
	}
	return nil
}

// completionNames returns the words that the prompt completes: those of the
// language and, if the entry can be reached, the names of objects and members.
func (c *Config) completionNames(ctx context.Context) []string {
	names := append([]string{}, keywords...)
	names = append(names, savorypinquery.Subjects()...)
	report, err := c.queryEntry(ctx)
	if err != nil {
		return names
	}
	for _, o := range report.source.Objects {
		names = append(names, o.Name)
	}
	for _, m := range report.source.Members {
		names = append(names, m.State.Name)
	}
	return names
}

// completeWord completes the word that ends at pos. It returns the text before the
// word, the possible words, and the text after pos.
func completeWord(names []string, text string, pos int) (head string, completions []string, tail string) {
	start := strings.LastIndex(text[:pos], " ") + 1
	for _, name := range names {
		if strings.HasPrefix(name, text[start:pos]) {
			completions = append(completions, name)
		}
	}
	return text[:start], completions, text[pos:]
}

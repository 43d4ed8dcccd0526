// Package savorypindemo runs a small system in one process on the loopback
// interface, injects faults into it and checks the answers that its callers got.
package savorypindemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypincluster"
	"savorypin/internal/savorypinstandin"
	"savorypin/pkg/savorypinclient"
)

// Sizes and time limits of the demo.
const (
	agents          = 4
	answerTokens    = 60
	callers         = 6
	demoTimeout     = 18 * time.Second
	entries         = 2
	killAfterTokens = 20
	maxTokenGap     = time.Second
	promptText      = "write the inspection summary of crib 7 and name every recall"
	sales           = 8
)

// places are the failure domains of the demo.
var places = []savorypincluster.Place{
	{Domain: "lahore", Region: "punjab"},
	{Domain: "faisalabad", Region: "punjab"},
	{Domain: "karachi", Region: "sindh"},
}

// Config configures the demo.
type Config struct {
	// Logger is the logger of all daemons. Run sets its level to error.
	Logger *log.Logger
	// Out is where the report is written.
	Out io.Writer
}

// Run runs the demo. It returns an error if a check fails.
func Run(ctx context.Context, cfg Config) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	cfg.Logger.SetLevel(log.ErrorLevel)
	c, err := savorypincluster.Start(ctx, savorypincluster.Config{
		Agents: agents,
		Engine: savorypinstandin.EngineConfig{
			Models:           []string{savorypincluster.Model},
			PrefillPerSecond: 8000,
			Slots:            16,
			TokensPerSecond:  30,
		},
		Entries: entries,
		Logger:  cfg.Logger,
		Places:  places,
	})
	if err != nil {
		return err
	}
	defer c.Close()
	if err := c.Configure(); err != nil {
		return err
	}
	fmt.Fprintf(cfg.Out, "running: 2 regions, 1 platform, %d entries, %d agents with an engine each, 1 ledger\n\n",
		entries, agents)
	if err := runGenerations(ctx, cfg, c); err != nil {
		return err
	}
	return runSales(ctx, cfg, c)
}

// generationReport describes the answer that one caller got, compared with an
// uninterrupted one.
type generationReport struct {
	err        error
	longestGap time.Duration
	missing    int
	repeated   int
	result     savorypinclient.Result
	wrong      int
}

func runGenerations(ctx context.Context, cfg Config, c *savorypincluster.Cluster) error {
	reports := make([]generationReport, callers)
	killed := make(chan struct{})
	var once sync.Once
	var wg sync.WaitGroup
	for i := range callers {
		wg.Go(func() {
			reports[i] = generate(ctx, c, int64(i), func(n int) {
				if i == 0 && n == killAfterTokens {
					once.Do(func() {
						killBusiestEngine(c)
						close(killed)
					})
				}
			})
		})
	}
	wg.Wait()
	select {
	case <-killed:
	default:
		return fmt.Errorf("no engine was killed")
	}
	return printGenerations(cfg, reports)
}

// generate runs one generation and compares it with an uninterrupted one. It calls
// progress with the number of tokens received after each one.
func generate(ctx context.Context, c *savorypincluster.Cluster, seed int64, progress func(int)) generationReport {
	want := savorypinstandin.Answer(savorypincluster.Model, seed, promptText, answerTokens)
	var report generationReport
	var got []int32
	last := time.Now()
	report.result, report.err = c.Client().Stream(ctx, savorypinclient.Request{
		MaxTokens: answerTokens,
		Prompt:    promptText,
		Seed:      seed,
		Service:   savorypincluster.Service,
	}, func(token savorypinclient.Token) error {
		if len(got) > 0 {
			report.longestGap = max(report.longestGap, time.Since(last))
		}
		last = time.Now()
		got = append(got, token.ID)
		progress(len(got))
		return nil
	})
	report.missing = max(0, len(want)-len(got))
	report.repeated = max(0, len(got)-len(want))
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			report.wrong++
		}
	}
	return report
}

func printGenerations(cfg Config, reports []generationReport) error {
	fmt.Fprintf(cfg.Out, "generations of %d tokens; an engine is killed during an answer\n", answerTokens)
	bad := 0
	resumed := 0
	for i, r := range reports {
		fmt.Fprintf(cfg.Out, "  caller %d: %d tokens, %d missing, %d repeated, %d wrong, %d attempts, longest gap %s\n",
			i, r.result.Tokens, r.missing, r.repeated, r.wrong, r.result.Attempts, r.longestGap.Round(time.Millisecond))
		if r.result.Attempts > 1 {
			resumed++
		}
		if r.err != nil {
			fmt.Fprintf(cfg.Out, "    error: %v\n", r.err)
		}
		if r.err != nil || r.missing+r.repeated+r.wrong > 0 || r.longestGap > maxTokenGap {
			bad++
		}
	}
	fmt.Fprintf(cfg.Out, "  %d resumed on another engine\n\n", resumed)
	if bad > 0 {
		return fmt.Errorf("%d of %d callers got an error, an incomplete or wrong answer, or one with a long gap", bad, len(reports))
	}
	if resumed == 0 {
		return fmt.Errorf("no generation was resumed")
	}
	return nil
}

// runSales sends each sale through all entries at once and checks that it ran at
// most once and that its outcomes are correct.
func runSales(ctx context.Context, cfg Config, c *savorypincluster.Cluster) error {
	fmt.Fprintf(cfg.Out, "%d sales, each sent through both entries; the ledger loses the answers of two\n", sales)
	c.Ledger().LoseAnswers(2)
	var wg sync.WaitGroup
	outcomes := make([][]string, sales)
	for i := range sales {
		outcomes[i] = make([]string, len(c.Entries()))
		for j := range c.Entries() {
			wg.Go(func() { outcomes[i][j] = makeSale(ctx, c, i, j) })
		}
	}
	wg.Wait()
	runs := c.Ledger().Runs()
	bad := 0
	for i := range sales {
		n := runs[savorypincluster.Organisation+"/"+saleKey(i)]
		fmt.Fprintf(cfg.Out, "  sale %d: ran %d times; callers got %v\n", i, n, outcomes[i])
		if !outcomesCorrect(n, outcomes[i]) {
			bad++
		}
	}
	if bad > 0 {
		return fmt.Errorf("%d of %d sales ran twice or were reported wrongly", bad, sales)
	}
	fmt.Fprintln(cfg.Out, "\nall checks passed")
	return nil
}

// makeSale makes one sale through one entry. It returns "done", "replayed" or the
// kind of the error.
func makeSale(ctx context.Context, c *savorypincluster.Cluster, sale, entry int) string {
	answer, err := c.Client(entry).Call(ctx, savorypincluster.Ledger, "sale", saleKey(sale), map[string]int{"sale": sale})
	if err != nil {
		return errorKind(err)
	}
	if answer.Replayed() {
		return "replayed"
	}
	return "done"
}

// outcomesCorrect reports whether a sale ran at most once and no caller got an
// outcome that contradicts the number of runs.
func outcomesCorrect(runs int, outcomes []string) bool {
	for _, outcome := range outcomes {
		switch outcome {
		case "done", "replayed":
			if runs != 1 {
				return false
			}
		case string(savorypinclient.KindNotRun):
			if runs != 0 {
				return false
			}
		}
	}
	return runs <= 1
}

func saleKey(sale int) string {
	return fmt.Sprintf("sale-%d", sale)
}

// killBusiestEngine kills the engine that runs the most requests.
func killBusiestEngine(c *savorypincluster.Cluster) {
	busiest := c.Agents()[0].Engine
	maxRunning := -1
	for _, a := range c.Agents() {
		if _, running := a.Engine.Requests(); running > maxRunning {
			busiest = a.Engine
			maxRunning = running
		}
	}
	busiest.Kill()
}

func errorKind(err error) string {
	var e *savorypinclient.Error
	if errors.As(err, &e) {
		return string(e.Kind())
	}
	return err.Error()
}

// Package main plays one case of the review: it starts the gateway of this project as a separate
// process, with stand-ins of the platform's store, of replicas and of clients, and judges what
// these have seen.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout is the time after which a case is given up.
const caseTimeout = 110 * time.Second

// cases are the cases by name.
var cases = map[string]func(*bench) (verdict, error){}

// verdict is the result of a case.
type verdict struct {
	// broken says that the rule was broken.
	broken bool
	// text says what was counted.
	text string
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		return exitNotRun
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	b, err := newBench(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	return b.play(play)
}

// play runs a case until it ends, its time is over or a signal comes.
func (b *bench) play(play func(*bench) (verdict, error)) int {
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := play(b)
		done <- result{v, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case r := <-done:
		if r.err != nil {
			b.logf("not run: %v", r.err)
			return exitNotRun
		}
		b.logf("result: %s", r.verdict.text)
		if r.verdict.broken {
			b.logf("the rule was broken")
			return exitBroken
		}
		b.logf("the rule held")
		return exitHeld
	case <-time.After(caseTimeout):
		b.logf("not run: the time is over")
	case s := <-signals:
		b.logf("not run: %v", s)
	}
	return exitNotRun
}

// programPath returns the absolute path of the program.
func programPath(path string) (string, error) {
	absolute, err := filepath.Abs(path)
	if err != nil {
		return "", err
	}
	if _, err := os.Stat(absolute); err != nil {
		return "", fmt.Errorf("the program isn't built: %w", err)
	}
	return absolute, nil
}

package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlanguage"
)

// defaultWaitTimeout is the timeout of a wait statement without "for".
const defaultWaitTimeout = 10 * time.Minute

// runWait waits until a move is done or a member has stopped. It fails if the move is
// rolled back or the timeout passes.
func (c *Config) runWait(ctx context.Context, w *savorypinlanguage.WaitStmt) error {
	timeout := defaultWaitTimeout
	if w.For != nil {
		d, err := parseDuration(*w.For)
		if err != nil {
			return err
		}
		timeout = d
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		done, err := c.checkWait(ctx, w)
		if done || err != nil {
			return err
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return savorypin.Errorf(savorypin.KindUnreachable, "wait", "condition not met after %s", timeout)
		}
	}
}

func (c *Config) checkWait(ctx context.Context, w *savorypinlanguage.WaitStmt) (bool, error) {
	report, err := c.queryEntry(ctx)
	if err != nil {
		return false, err
	}
	if w.Stop != nil {
		return c.checkStopped(report, w.Stop.Text), nil
	}
	status, err := report.moveStatus(w.Move.Text)
	if err != nil {
		return false, err
	}
	switch status.State {
	case savorypin.MoveDone:
		fmt.Fprintf(c.stdout, "moves/%s is done: %s\n", w.Move.Text, status.Reason)
		return true, nil
	case savorypin.MoveRolledBack:
		return false, savorypin.Errorf(savorypin.KindNotRun, "moves/"+w.Move.Text, "was taken back: %s", status.Reason)
	default:
		return false, nil
	}
}

// checkStopped reports whether the entry does not list a member as live, and prints a
// line if so. It also returns true for a member that the entry does not know.
func (c *Config) checkStopped(report *stateReport, member string) bool {
	for _, m := range report.source.Members {
		if m.State.Name == member && m.Health == "live" {
			return false
		}
	}
	fmt.Fprintf(c.stdout, "%s has stopped\n", member)
	return true
}

// moveStatus returns the status of a move. A move without a status is pending.
func (r *stateReport) moveStatus(name string) (savorypin.MoveStatus, error) {
	status := savorypin.MoveStatus{State: savorypin.MovePending}
	o, err := r.findObject(savorypin.KindMove, name)
	if err != nil || len(o.Status) == 0 {
		return status, err
	}
	if err := json.Unmarshal(o.Status, &status); err != nil {
		return status, savorypin.Errorf(savorypin.KindInvalid, o.String(), "%w", err)
	}
	return status, nil
}

package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlanguage"
)

// defaultWait is how long a wait lasts if it states no time.
const defaultWait = 10 * time.Minute

// waitFor waits until a move has ended or a member has stopped.
func (c *Config) waitFor(ctx context.Context, w *savorypinlanguage.WaitStmt) error {
	limit := defaultWait
	if w.For != nil {
		d, err := parseDuration(*w.For)
		if err != nil {
			return err
		}
		limit = d
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		done, err := c.waitStep(ctx, w)
		if done || err != nil {
			return err
		}
		select {
		case <-time.After(waitPause):
		case <-ctx.Done():
			return savorypin.Errorf(savorypin.KindUnreachable, "wait", "not so after %s", limit)
		}
	}
}

func (c *Config) waitStep(ctx context.Context, w *savorypinlanguage.WaitStmt) (bool, error) {
	a, err := c.ask(ctx)
	if err != nil {
		return false, err
	}
	if w.Stop != nil {
		return c.stopped(a, w.Stop.Text), nil
	}
	status, err := a.moveStatus(w.Move.Text)
	if err != nil {
		return false, err
	}
	switch status.State {
	case savorypin.MoveDone:
		fmt.Fprintf(c.stdout, "moves/%s is done: %s\n", w.Move.Text, status.Reason)
		return true, nil
	case savorypin.MoveTakenBack:
		return false, savorypin.Errorf(savorypin.KindNotRun, "moves/"+w.Move.Text, "was taken back: %s", status.Reason)
	default:
		return false, nil
	}
}

// stopped reports whether a member has left.
func (c *Config) stopped(a *answers, member string) bool {
	for _, m := range a.source.Members {
		if m.State.Name == member && m.Health == "live" {
			return false
		}
	}
	fmt.Fprintf(c.stdout, "%s has stopped\n", member)
	return true
}

// moveStatus returns the status of a move; a move without one is pending.
func (a *answers) moveStatus(name string) (savorypin.MoveStatus, error) {
	status := savorypin.MoveStatus{State: savorypin.MovePending}
	o, err := a.object(savorypin.KindMove, name)
	if err != nil || len(o.Status) == 0 {
		return status, err
	}
	if err := json.Unmarshal(o.Status, &status); err != nil {
		return status, savorypin.Errorf(savorypin.KindInvalid, o.String(), "%w", err)
	}
	return status, nil
}

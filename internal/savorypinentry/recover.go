package savorypinentry

import (
	"errors"

	"savorypin/internal/savorypinguard"
)

// recoverPanic calls f. It logs a panic of f and returns it as an error, so that only
// this task fails and not the process.
func (e *Entry) recoverPanic(task string, f func() error) error {
	err := savorypinguard.Recover(f)
	var panicked *savorypinguard.PanicError
	if errors.As(err, &panicked) {
		e.daemon.Logger().Error("work panicked", "what", task, "err", panicked, "stack", string(panicked.Stack))
	}
	return err
}

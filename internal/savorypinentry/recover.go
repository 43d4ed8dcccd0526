package savorypinentry

import (
	"errors"

	"savorypin/internal/savorypinpanic"
)

// recoverPanic calls f. It logs a panic of f and returns it as an error, so that only
// this task fails and not the process.
func (e *Entry) recoverPanic(task string, f func() error) error {
	err := savorypinpanic.Recover(f)
	var panicked *savorypinpanic.PanicError
	if errors.As(err, &panicked) {
		e.daemon.Logger().Error("Task panicked", "what", task, "err", panicked, "stack", string(panicked.Stack))
	}
	return err
}

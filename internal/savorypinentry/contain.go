package savorypinentry

import (
	"errors"

	"savorypin/internal/savorypinguard"
)

// contain returns what f returns. A panic of f is logged and returned as an error, so
// that it ends one piece of work and not the process.
func (e *Entry) contain(what string, f func() error) error {
	err := savorypinguard.Do(f)
	var panicked *savorypinguard.PanicError
	if errors.As(err, &panicked) {
		e.daemon.Logger().Error("work panicked", "what", what, "err", panicked, "stack", string(panicked.Stack))
	}
	return err
}

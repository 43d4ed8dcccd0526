package savorypindaemon

import "sync"

// tasks are short goroutines that messages start at any time, also while the
// daemon ends.
type tasks struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// start runs f on a goroutine of its own, or not at all after close.
func (t *tasks) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.wg.Go(f)
	}
}

// close waits for all tasks and lets no other start.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}

package savorypindaemon

import "sync"

// tasks are short-lived goroutines that are started by messages, possibly while the
// daemon stops.
type tasks struct {
	mu     sync.Mutex
	closed bool
	wg     sync.WaitGroup
}

// start runs f in a new goroutine. After close, it does nothing.
func (t *tasks) start(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.wg.Go(f)
	}
}

// close prevents further tasks and waits for the running ones.
func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}

package savorypinclaim

import "sync"

// checkGroup lets concurrent callers share the result of one check. Each caller
// gets the result of a check that began after its call, so that the result is
// not outdated.
type checkGroup struct {
	mu      sync.Mutex
	next    *sharedCheck
	running bool
}

// sharedCheck is a check whose result some callers share.
type sharedCheck struct {
	done chan struct{}
	err  error
}

// wait returns the result of the next check to begin.
func (r *checkGroup) wait(check func() error) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &sharedCheck{done: make(chan struct{})}
	}
	shared := r.next
	if !r.running {
		r.running = true
		go r.run(check)
	}
	r.mu.Unlock()
	<-shared.done
	return shared.err
}

// run repeats the check until no caller waits.
func (r *checkGroup) run(check func() error) {
	for {
		r.mu.Lock()
		current := r.next
		r.next = nil
		r.running = current != nil
		r.mu.Unlock()
		if current == nil {
			return
		}
		current.err = check()
		close(current.done)
	}
}

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
func (g *checkGroup) wait(check func() error) error {
	g.mu.Lock()
	if g.next == nil {
		g.next = &sharedCheck{done: make(chan struct{})}
	}
	shared := g.next
	if !g.running {
		g.running = true
		go g.run(check)
	}
	g.mu.Unlock()
	<-shared.done
	return shared.err
}

// run repeats the check until no caller waits. Callers that join while it runs
// share this check; their own is not used.
func (g *checkGroup) run(check func() error) {
	for {
		g.mu.Lock()
		current := g.next
		g.next = nil
		g.running = current != nil
		g.mu.Unlock()
		if current == nil {
			return
		}
		current.err = check()
		close(current.done)
	}
}

package savorypinclaim

import "sync"

// rounds lets callers share a question: each gets the answer of one that began
// after it asked, so that the answer is not older than the caller's interest.
type rounds struct {
	mu      sync.Mutex
	next    *round
	running bool
}

// round is a question that some callers share.
type round struct {
	done chan struct{}
	err  error
}

// ask waits for the answer of the next question.
func (r *rounds) ask(question func() error) error {
	r.mu.Lock()
	if r.next == nil {
		r.next = &round{done: make(chan struct{})}
	}
	joined := r.next
	if !r.running {
		r.running = true
		go r.run(question)
	}
	r.mu.Unlock()
	<-joined.done
	return joined.err
}

// run asks until nobody waits.
func (r *rounds) run(question func() error) {
	for {
		r.mu.Lock()
		current := r.next
		r.next = nil
		r.running = current != nil
		r.mu.Unlock()
		if current == nil {
			return
		}
		current.err = question()
		close(current.done)
	}
}

package savorypingateway

import "context"

// looks are the searches for endpoints whose connections broke under one request, to find out whether
// they have crashed.
type looks struct {
	// pending are closed when the searches have ended.
	pending []<-chan struct{}
}

// begin begins a search, which takes as long as a connection attempt at most.
func (l *looks) begin(g *Gateway, look func()) {
	done := make(chan struct{})
	l.pending = append(l.pending, done)
	go func() {
		defer close(done)
		g.log.RunRecovered("look for endpoint", look)
	}()
}

// begun reports whether a search was begun that nobody has awaited.
func (l *looks) begun() bool { return len(l.pending) > 0 }

// await waits until all searches have ended or ctx is done. A request without a response awaits them,
// since its caller may repeat it at once and crash the next endpoint if the last crash isn't recorded.
func (l *looks) await(ctx context.Context) {
	for _, done := range l.pending {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
	l.pending = nil
}

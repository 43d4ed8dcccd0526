package savorypingateway

import "context"

// crashChecks are the checks of endpoints whose connections broke under one request, which find out
// whether they have crashed.
type crashChecks struct {
	// pending are closed when the checks have ended.
	pending []<-chan struct{}
}

// begin starts a check, which takes as long as a connection attempt at most.
func (c *crashChecks) begin(g *Gateway, check func()) {
	done := make(chan struct{})
	c.pending = append(c.pending, done)
	go func() {
		defer close(done)
		g.log.RunRecovered("check endpoint", check)
	}()
}

// begun reports whether a check was started that nobody has awaited.
func (c *crashChecks) begun() bool { return len(c.pending) > 0 }

// await waits until all checks have ended or ctx is done. A request without a response awaits them,
// since its caller may repeat it at once and crash the next endpoint if the last crash isn't recorded.
func (c *crashChecks) await(ctx context.Context) {
	for _, done := range c.pending {
		select {
		case <-done:
		case <-ctx.Done():
			return
		}
	}
	c.pending = nil
}

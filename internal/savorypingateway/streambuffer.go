package savorypingateway

import (
	"net/http"

	"savorypin/internal/savorypinbuffer"
	"savorypin/internal/savorypinevent"
)

const (
	// streamMemoryRatio is the fraction of the memory limit that the events of all slow callers may use.
	// With requestMemoryRatio and responseMemoryRatio it stays below memoryLimitRatio.
	streamMemoryRatio = 0.0625
	// defaultStreamBudgetBytes applies without a memory limit.
	defaultStreamBudgetBytes = 64 << 20
)

// newStreamBudget returns the budget of the events of slow callers.
func newStreamBudget(memory int64) *savorypinbuffer.Budget {
	if memory > 0 {
		return savorypinbuffer.New(int64(streamMemoryRatio * float64(memory)))
	}
	return savorypinbuffer.New(defaultStreamBudgetBytes)
}

// urgency returns the rank of a request's priority among the streams to its service; 0 is the most urgent.
func (r *request) urgency() int { return r.priority.rank }

// bufferFor lets the events of a request's response be buffered if its caller reads slowly. It returns
// the caller's connection, whose method finish must be called at the end; nil if it can't be buffered.
func (g *Gateway) bufferFor(r *http.Request, req *request) *callerConn {
	c := callerConnOf(r)
	if c == nil {
		return nil
	}
	use := &bufferUse{ctx: r.Context(), onBuffering: func() { g.counters.slowCallers.Inc(1) }}
	use.holder = g.streamBudget.NewHolder(savorypinbuffer.HolderConfig{
		Priority: req.urgency(),
		Yield: func(held int64) {
			if c.yield(use) {
				g.counters.bufferAborted.Inc(1)
				g.logBufferFull(req, savorypinevent.BufferAborted, held)
			}
		},
	})
	use.onFull = func() {
		g.counters.bufferHeldBack.Inc(1)
		g.logBufferFull(req, savorypinevent.BufferHeldBack, use.holder.Held())
	}
	c.begin(use)
	return c
}

// logBufferFull logs what the used-up budget means for a stream that holds or held a number of bytes.
func (g *Gateway) logBufferFull(req *request, outcome savorypinevent.BufferOutcome, held int64) {
	g.log.Emit(savorypinevent.BufferFull{
		Held: held, ID: req.call.ID, Outcome: outcome, Priority: req.urgency(), Route: req.route.Name(), Used: g.streamBudget.Used(),
	})
}

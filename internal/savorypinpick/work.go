package savorypinpick

import (
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

// maxWaitingTokens bounds the prompt tokens that a request adds to those waiting at an endpoint, in case
// its caller names an implausible number.
const maxWaitingTokens = 1 << 20

// Work is one request at one endpoint, from sending it to its end.
type Work struct {
	backup    *endpointState
	startedAt time.Time
	ended     atomic.Bool
	endpoint  *endpointState
	picker    *Picker
	// reserved is the number of tokens of KV memory reserved at the endpoint, and for the backup.
	reserved      int64
	waitingTokens int64
}

// BeginPlain records that a request without a streamed response is sent to e.
func (p *Picker) BeginPlain(e *savorypinfleet.Endpoint) *Work {
	p.state(e).plain.Store(true)
	return p.Begin(e, nil, 0)
}

// Begin records that a request is sent to e whose prompt has the given number of tokens
// to prefill, and that backup keeps a copy of its KV cache; backup may be nil.
func (p *Picker) Begin(e, backup *savorypinfleet.Endpoint, tokens int) *Work {
	w := &Work{startedAt: p.cfg.Now(), endpoint: p.state(e), picker: p, waitingTokens: min(maxWaitingTokens, int64(tokens))}
	w.endpoint.running.Add(1)
	w.endpoint.waitingTokens.Add(w.waitingTokens)
	if backup != nil {
		w.backup = p.state(backup)
		w.backup.backups.Add(1)
	}
	return w
}

// RecordPrefill records that the prompt has been prefilled.
func (w *Work) RecordPrefill() {
	if w.waitingTokens > 0 {
		updateDurationAverage(&w.picker.prefillDuration, w.picker.cfg.Now().Sub(w.startedAt))
	}
	w.clearWaiting()
}

// clearWaiting subtracts the prompt from the tokens waiting at the endpoint.
func (w *Work) clearWaiting() {
	w.endpoint.waitingTokens.Add(-w.waitingTokens)
	w.waitingTokens = 0
}

// End records that the request has ended. Calls after the first have no effect.
func (w *Work) End() {
	if w.ended.Swap(true) {
		return
	}
	w.clearWaiting()
	w.endpoint.running.Add(-1)
	w.releaseMemory()
	if w.backup != nil {
		w.backup.backups.Add(-1)
	}
}

// RecordAnswer records the latency of a plain request and whether it failed.
func (w *Work) RecordAnswer(failed bool) {
	latency := int64(w.picker.cfg.Now().Sub(w.startedAt))
	updateAverage(&w.endpoint.latency, latency, latency)
	failure := int64(0)
	if failed {
		failure = 1e6
	}
	updateAverage(&w.endpoint.failureRate, failure, 0)
}

// updateAverage adds a value to an exponential moving average; initial replaces an
// average of zero. A concurrent update may be lost, which changes the average little.
func updateAverage(average *atomic.Int64, value, initial int64) {
	old := average.Load()
	if old == 0 {
		old = initial
	}
	average.Store(old + int64(latencyWeight*float64(value-old)))
}

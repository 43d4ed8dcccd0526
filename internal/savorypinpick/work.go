package savorypinpick

import (
	"sync/atomic"
	"time"

	"savorypin/internal/savorypinfleet"
)

// Work is one request at one endpoint, from when it is sent until it ends.
type Work struct {
	backup *load
	began  time.Time
	ended  atomic.Bool
	load   *load
	picker *Picker
	tokens int64
}

// BeginPlain takes note that a request whose answer is no stream is sent to e.
func (p *Picker) BeginPlain(e *savorypinfleet.Endpoint) *Work {
	p.load(e).plain.Store(true)
	return p.Begin(e, nil, 0)
}

// Begin takes note that a request is sent to e, with a prompt to be read of the
// given number of tokens, and that backup keeps a copy; backup may be nil.
func (p *Picker) Begin(e, backup *savorypinfleet.Endpoint, tokens int) *Work {
	w := &Work{began: p.cfg.Now(), load: p.load(e), picker: p, tokens: int64(tokens)}
	w.load.running.Add(1)
	w.load.waiting.Add(w.tokens)
	if backup != nil {
		w.backup = p.load(backup)
		w.backup.backups.Add(1)
	}
	return w
}

// Read takes note that the prompt has been read.
func (w *Work) Read() {
	if w.tokens > 0 {
		moveAverage(&w.picker.reading, w.picker.cfg.Now().Sub(w.began))
	}
	w.forgetPrompt()
}

// forgetPrompt takes the prompt off what waits at the endpoint.
func (w *Work) forgetPrompt() {
	w.load.waiting.Add(-w.tokens)
	w.tokens = 0
}

// End takes note that the request has ended. Calls after the first do nothing.
func (w *Work) End() {
	if w.ended.Swap(true) {
		return
	}
	w.forgetPrompt()
	w.load.running.Add(-1)
	if w.backup != nil {
		w.backup.backups.Add(-1)
	}
}

// Answered takes note of an answer to a plain request and how it ended.
func (w *Work) Answered(failed bool) {
	took := int64(w.picker.cfg.Now().Sub(w.began))
	average(&w.load.latency, took, took)
	share := int64(0)
	if failed {
		share = 1e6
	}
	average(&w.load.failures, share, 0)
}

// average moves an average towards a value. An update that is lost to another
// one at the same moment changes little.
func average(a *atomic.Int64, value, first int64) {
	old := a.Load()
	if old == 0 {
		old = first
	}
	a.Store(old + int64(latencyWeight*float64(value-old)))
}

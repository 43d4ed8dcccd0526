package savorypinevent

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of the writer.
const (
	// maxQueuedLines is the maximum number of lines that are queued while the output is
	// slow or blocked.
	maxQueuedLines = 1024
	// maxBatchBytes is the size at which a batch of queued lines is written, even if more
	// are queued.
	maxBatchBytes = 16 << 10
	// closeTimeout is how long Close waits for the queued lines to be written.
	closeTimeout = 300 * time.Millisecond
)

// Writer writes lines to an output that may be slow or blocked, without making the
// caller wait. Lines that exceed the queue are dropped and counted.
type Writer struct {
	done  chan struct{}
	lines chan []byte
	lost  atomic.Int64
	out   io.Writer
	stop  chan struct{}
}

// NewWriter returns a Writer to out. Its goroutine runs until Close is called.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{done: make(chan struct{}), lines: make(chan []byte, maxQueuedLines), out: out, stop: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of a line, or drops the line if the queue is full. It never waits
// and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Lost returns the number of lines that were dropped, plus the number of writes that
// failed.
func (w *Writer) Lost() int64 {
	return w.lost.Load()
}

// Close writes the queued lines and stops the writer. It gives up after closeTimeout if
// the output is blocked.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-w.stop:
			w.drain()
			return
		}
		if lost := w.lost.Load(); lost > reported && len(w.lines) == 0 {
			w.writeOutput(fmt.Appendf(nil, "level=warn msg=%q of=any count=%d\n", KindLinesLeftOut, lost-reported))
			reported = lost
		}
	}
}

// drain writes the queued lines.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		default:
			return
		}
	}
}

// writeBatch writes a line together with the lines that are queued after it, up to
// maxBatchBytes.
func (w *Writer) writeBatch(batch []byte) {
	for len(batch) < maxBatchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	w.writeOutput(batch)
}

// writeOutput writes to the output. A failure cannot be reported anywhere, so it is
// counted as a lost line.
func (w *Writer) writeOutput(batch []byte) {
	if _, err := w.out.Write(batch); err != nil {
		w.lost.Add(1)
	}
}

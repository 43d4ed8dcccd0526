package savorypinevent

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Sizes of the writer.
const (
	// queueLines is the number of lines that wait for a slow reader.
	queueLines = 1024
	// batchBytes is the size of a write: what waits is written at once.
	batchBytes = 16 << 10
	// closeTimeout bounds the wait for the last lines.
	closeTimeout = 300 * time.Millisecond
)

// Writer passes lines on to a slow or blocked reader without making the caller
// wait. Lines that find no room are lost and counted.
type Writer struct {
	done  chan struct{}
	lines chan []byte
	lost  atomic.Int64
	out   io.Writer
	stop  chan struct{}
}

// NewWriter returns a writer to out. Close ends it.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{done: make(chan struct{}), lines: make(chan []byte, queueLines), out: out, stop: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line over. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.lost.Add(1)
	}
	return len(line), nil
}

// Lost is the number of lines that found no room.
func (w *Writer) Lost() int64 {
	return w.lost.Load()
}

// Close writes the lines that wait, unless the reader is blocked.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	told := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeBatch(line)
		case <-w.stop:
			w.drain()
			return
		}
		if lost := w.lost.Load(); lost > told && len(w.lines) == 0 {
			w.writeOut(fmt.Appendf(nil, "level=warn msg=%q of=any count=%d\n", KindLinesLeftOut, lost-told))
			told = lost
		}
	}
}

// drain writes what waits.
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

// writeBatch writes a line with those that wait behind it.
func (w *Writer) writeBatch(batch []byte) {
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	w.writeOut(batch)
}

// writeOut writes to the reader. Nobody can be told of lines that it does not
// take, so that they count as lost.
func (w *Writer) writeOut(batch []byte) {
	if _, err := w.out.Write(batch); err != nil {
		w.lost.Add(1)
	}
}

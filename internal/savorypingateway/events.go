package savorypingateway

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"savorypin/internal/savorypinpool"
)

const (
	// maxEventBytes limits one event of a stream; each stream buffers one.
	maxEventBytes = 64 << 10
	// maxCommentBytes limits the comments between two events, which are buffered.
	maxCommentBytes = 64 << 10
	// maxRepeatedBytes limits the repeated events between two new ones. An endpoint that ignores the
	// last event's ID repeats all events before it.
	maxRepeatedBytes = 4 << 20
)

// errInvalidEvent means that a stream contains something other than a valid event.
var errInvalidEvent = errors.New("not an event of a stream")

// event is an event of a stream.
type event struct {
	// hasField is set if the event has a field, so that it is more than a comment.
	hasField bool
	// id is the number of the event; zero if it has none.
	id int64
	// raw holds the bytes of the event, with the empty line that ends it.
	raw []byte
}

// eventReader reads the events of a stream (server-sent events).
type eventReader struct {
	br *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReader(r)}
}

// buffered reports whether a part of the next event has been received.
func (r *eventReader) buffered() bool {
	return r.br.Buffered() > 0
}

// advances reports whether the caller does not have the event yet, given the number of the last
// one that it has. It returns false for comments and repeated events.
func (e *event) advances(last int64) bool {
	return e.hasField && (e.id == 0 || e.id > last)
}

// next returns the next complete event. It returns io.EOF if the stream ends after a complete
// event, and io.ErrUnexpectedEOF if it ends within one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event{}, savorypinpool.ClassifyReadError(err)
		}
		if len(e.raw) > maxEventBytes {
			return event{}, fmt.Errorf("%w: longer than %d bytes", errInvalidEvent, maxEventBytes)
		}
		if err != nil {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.hasField = e.hasField || line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("%w: id: %w", errInvalidEvent, err)
			}
			e.id = id
		}
	}
}

// idleBytes are the parts of a response that bring no new event.
type idleBytes struct {
	// comments holds the comments since the last new event.
	comments []byte
	// repeated is the number of bytes of the repeated events since then.
	repeated int
}

// add adds a comment or a repeated event. It returns an error that wraps errInvalidEvent if there are
// too many.
func (b *idleBytes) add(e event) error {
	if e.hasField {
		b.repeated += len(e.raw)
	} else {
		b.comments = append(b.comments, e.raw...)
	}
	if len(b.comments) > maxCommentBytes || b.repeated > maxRepeatedBytes {
		return fmt.Errorf("%w: no new event in %d bytes", errInvalidEvent, len(b.comments)+b.repeated)
	}
	return nil
}

// takeComments returns the comments before a new event, and begins anew.
func (b *idleBytes) takeComments() []byte {
	comments := b.comments
	*b = idleBytes{}
	return comments
}

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

// maxEventBytes bounds one event of a stream, of which each stream holds one.
const maxEventBytes = 64 << 10

// errEvent means that a stream holds something that is no event.
var errEvent = errors.New("not an event of a stream")

// event is one event of a stream.
type event struct {
	// data says that the event has a field, so that it is more than a comment.
	data bool
	// id is the number of the event; zero if it has none.
	id int64
	// raw are the bytes of the event with the empty line that ends it.
	raw []byte
}

// eventReader reads the events of a stream (server-sent events).
type eventReader struct {
	br *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{br: bufio.NewReader(r)}
}

// buffered reports whether a part of the next event is there already.
func (r *eventReader) buffered() bool {
	return r.br.Buffered() > 0
}

// advances reports whether the event goes beyond the last one that the caller has.
// Comments and repeated events don't.
func (e *event) advances(last int64) bool {
	return e.data && (e.id == 0 || e.id > last)
}

// next returns the next whole event. It returns io.EOF if the stream ends after
// a whole event, and io.ErrUnexpectedEOF if it ends within one.
func (r *eventReader) next() (event, error) {
	var e event
	for {
		line, err := r.br.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		if errors.Is(err, io.EOF) && len(e.raw) > 0 {
			return event{}, io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return event{}, savorypinpool.ReadError(err)
		}
		if len(e.raw) > maxEventBytes {
			return event{}, fmt.Errorf("%w: longer than %d bytes", errEvent, maxEventBytes)
		}
		if err != nil {
			continue
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return e, nil
		}
		e.data = e.data || line[0] != ':'
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
			if err != nil {
				return event{}, fmt.Errorf("%w: id: %w", errEvent, err)
			}
			e.id = id
		}
	}
}

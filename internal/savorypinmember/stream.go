package savorypinmember

import (
	"context"
	"errors"
	"sync"
	"time"

	"savorypin/internal/savorypin"
)

// Stream is a bidirectional sequence of frames.
type Stream struct {
	cancel context.CancelCauseFunc
	conn   *Conn
	ctx    context.Context //nolint:containedctx // It ends with the stream.
	id     uint64

	mu      sync.Mutex
	inbox   []Frame
	arrived chan struct{}
}

func newStream(c *Conn, id uint64) *Stream {
	ctx, cancel := context.WithCancelCause(c.ctx)
	return &Stream{
		arrived: make(chan struct{}, 1),
		cancel:  cancel,
		conn:    c,
		ctx:     ctx,
		id:      id,
	}
}

// Close ends the stream and notifies the peer. It does not block.
func (s *Stream) Close() {
	if s.ctx.Err() == nil && s.id != noticeStream {
		// If the frame can't be queued, the connection has ended and with it the peer's
		// stream.
		_ = s.SendNow(frameEnd, struct{}{})
	}
	s.fail(ErrClosed)
	s.unregister()
}

// endUnannounced ends the stream without notifying the peer, which ends it on its own because
// the answer is the last frame.
func (s *Stream) endUnannounced() {
	s.fail(ErrClosed)
	s.unregister()
}

// Conn returns the connection of the stream.
func (s *Stream) Conn() *Conn {
	return s.conn
}

// Receive returns the next frame. It returns a *savorypin.Error if the peer sent one, and
// ErrClosed, ErrOverrun or ErrUnresponsive if the stream has ended.
func (s *Stream) Receive(ctx context.Context) (Frame, error) {
	for {
		if f, ok := s.pop(); ok {
			return s.interpret(f)
		}
		select {
		case <-s.arrived:
		case <-s.ctx.Done():
			// Frames that arrived before the stream ended can still be received.
			if f, ok := s.pop(); ok {
				return s.interpret(f)
			}
			return Frame{}, context.Cause(s.ctx)
		case <-ctx.Done():
			return Frame{}, ctx.Err()
		}
	}
}

// Send queues a frame. It blocks while the queue of the connection is full.
func (s *Stream) Send(ctx context.Context, kind FrameKind, v any) error {
	if err := s.ctx.Err(); err != nil {
		return context.Cause(s.ctx)
	}
	return s.conn.send(ctx, kind, s.id, v, false)
}

// SendNow queues a frame even if the queue of the connection is full. It never blocks, and is
// meant for a bounded number of short frames.
func (s *Stream) SendNow(kind FrameKind, v any) error {
	if err := s.ctx.Err(); err != nil {
		return context.Cause(s.ctx)
	}
	return s.conn.send(s.ctx, kind, s.id, v, true)
}

// SendError sends err to the peer, which receives it as a *savorypin.Error. It sends nothing
// if the peer expects no answer.
func (s *Stream) SendError(ctx context.Context, err error) error {
	if s.id == noticeStream {
		return nil
	}
	return s.Send(ctx, frameError, newRemoteError(err))
}

// interpret returns the frame. It returns an error if the frame ends the stream or carries an
// error of the peer.
func (s *Stream) interpret(f Frame) (Frame, error) {
	switch f.Kind {
	case frameEnd:
		s.fail(ErrClosed)
		s.unregister()
		return f, ErrClosed
	case frameError:
		remote, err := Decode[remoteError](f)
		if err != nil {
			return f, err
		}
		return f, remote.error()
	default:
		return f, nil
	}
}

func (s *Stream) fail(err error) {
	s.cancel(err)
}

// unregister removes the stream from its connection.
func (s *Stream) unregister() {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	delete(s.conn.streams, s.id)
}

// pop removes and returns the first frame of the inbox.
func (s *Stream) pop() (Frame, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inbox) == 0 {
		return Frame{}, false
	}
	f := s.inbox[0]
	s.inbox[0] = Frame{}
	s.inbox = s.inbox[1:]
	if len(s.inbox) == 0 {
		s.inbox = s.inbox[:0:0]
	}
	return f, true
}

// push adds a frame to the inbox. It never blocks, so that a slow reader of one stream doesn't
// delay the others. If the inbox is full, it ends the stream with ErrOverrun.
func (s *Stream) push(f Frame) {
	s.mu.Lock()
	full := len(s.inbox) >= maxStreamFrames
	if !full {
		s.inbox = append(s.inbox, f)
	}
	s.mu.Unlock()
	if full {
		s.fail(ErrOverrun)
		s.unregister()
		return
	}
	select {
	case s.arrived <- struct{}{}:
	default:
	}
	if f.Kind == frameEnd {
		s.endByPeer()
	}
}

// endByPeer ends a stream that the peer has ended. Frames in the inbox can still be received.
func (s *Stream) endByPeer() {
	s.fail(ErrClosed)
	s.unregister()
}

// remoteError is the encoded form of an error.
type remoteError struct {
	Kind       savorypin.ErrorKind `msgpack:"k"`
	Message    string              `msgpack:"m"`
	Object     string              `msgpack:"o"`
	RetryAfter time.Duration       `msgpack:"r"`
}

func newRemoteError(err error) remoteError {
	var e *savorypin.Error
	if errors.As(err, &e) {
		return remoteError{
			Kind:       e.Kind,
			Message:    e.Err.Error(),
			Object:     e.Object,
			RetryAfter: e.RetryAfter,
		}
	}
	return remoteError{Kind: savorypin.KindUnknown, Message: err.Error()}
}

func (r remoteError) error() error {
	return savorypin.Errorf(r.Kind, r.Object, "%s", r.Message).WithRetryAfter(r.RetryAfter)
}

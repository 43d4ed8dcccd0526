package savorypinmember

import (
	"context"

	"savorypin/internal/savorypin"
)

// noticeStream is the stream of messages that have no answer. It is never
// opened or ended, so that such a message costs one frame.
const noticeStream = 0

// Notify sends a message that has no answer. That it was queued does not mean
// that it arrives.
func Notify[T any](ctx context.Context, t *Transport, address string, kind FrameKind, v T) error {
	c, err := t.Get(ctx, address)
	if err != nil {
		return err
	}
	return newStream(c, noticeStream).Send(ctx, kind, v)
}

// HandleNotice returns a handler of messages that have no answer.
func HandleNotice[T any](handle func(peer Hello, v T)) Handler {
	return func(_ context.Context, s *Stream, first Frame) error {
		v, err := Decode[T](first)
		if err != nil {
			return savorypin.Errorf(savorypin.KindInvalid, string(first.Kind), "%w", err)
		}
		handle(s.Conn().Peer(), v)
		return nil
	}
}

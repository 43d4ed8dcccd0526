package savorypinmember

import (
	"context"

	"savorypin/internal/savorypin"
)

// noticeStream is the id of the stream of messages that have no answer. It is never opened or
// ended, so that such a message takes a single frame.
const noticeStream = 0

// Notify sends a message that has no answer. It returns an error if the message can't be
// queued; a queued message may still be lost.
func Notify[T any](ctx context.Context, t *Transport, address string, kind FrameKind, v T) error {
	c, err := t.Get(ctx, address)
	if err != nil {
		return err
	}
	return newStream(c, noticeStream).Send(ctx, kind, v)
}

// HandleNotice returns a handler for messages that have no answer.
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

// Package savorypinmember is the transport between daemons: TCP connections
// that carry length-framed msgpack, with many streams on one connection.
//
// A stream costs one map entry at each end. Frames of all streams share one
// bounded queue a connection and are written together, so that the tokens of
// many streams leave in one system call. A connection that stays quiet while
// streams are open is probed; one that does not answer is closed.
package savorypinmember

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// FrameKind says what a frame carries. Kinds are short names of one word.
type FrameKind string

// Kinds that the transport itself uses. The kinds of messages are declared
// beside the messages.
const (
	frameEnd   FrameKind = "end"
	frameError FrameKind = "error"
	frameHello FrameKind = "hello"
	framePing  FrameKind = "ping"
	framePong  FrameKind = "pong"
	frameProof FrameKind = "proof"
	frameReply FrameKind = "reply"
)

// MaxFrameBytes is the longest frame that is sent or accepted.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

// Errors of the transport. Packages above translate them.
var (
	// ErrClosed means that the connection or stream was closed.
	ErrClosed = errors.New("member connection is closed")
	// ErrFrame means that a peer sent something that is no frame.
	ErrFrame = errors.New("member frame is malformed")
	// ErrHandshake means that a peer did not prove that it is a daemon.
	ErrHandshake = errors.New("member handshake failed")
	// ErrOverrun means that a peer sent more than a stream may hold.
	ErrOverrun = errors.New("member stream holds too many frames")
	// ErrSilent means that a peer did not answer a probe.
	ErrSilent = errors.New("member connection is silent")
)

// Frame is one message of a stream.
type Frame struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the codec.

	Kind   FrameKind
	Stream uint64
	Body   msgpack.RawMessage
}

// Decode decodes the body of a frame into a T.
func Decode[T any](f Frame) (T, error) {
	var v T
	if err := msgpack.Unmarshal(f.Body, &v); err != nil {
		return v, fmt.Errorf("%w: %s: %w", ErrFrame, f.Kind, err)
	}
	return v, nil
}

// EncodeFrame returns the wire form of a frame whose body is v.
func EncodeFrame(kind FrameKind, stream uint64, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: encode %s: %w", ErrFrame, kind, err)
	}
	frame, err := msgpack.Marshal(&Frame{Kind: kind, Stream: stream, Body: body})
	if err != nil {
		return nil, fmt.Errorf("%w: encode %s: %w", ErrFrame, kind, err)
	}
	if len(frame) > MaxFrameBytes {
		return nil, fmt.Errorf("%w: %s of %d bytes is longer than %d", ErrFrame, kind, len(frame), MaxFrameBytes)
	}
	data := make([]byte, lengthBytes, lengthBytes+len(frame))
	binary.BigEndian.PutUint32(data, uint32(len(frame)))
	return append(data, frame...), nil
}

// ReadFrame reads one frame. It returns io.EOF at the end of the input.
func ReadFrame(r *bufio.Reader) (Frame, error) {
	var header [lengthBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > MaxFrameBytes {
		return Frame{}, fmt.Errorf("%w: length %d is over %d", ErrFrame, n, MaxFrameBytes)
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return Frame{}, err
	}
	var f Frame
	if err := msgpack.Unmarshal(data, &f); err != nil {
		return Frame{}, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return f, nil
}

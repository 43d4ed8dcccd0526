// Package savorypinmember is the transport between daemons: TCP connections that carry
// length-prefixed msgpack frames, with many streams multiplexed on each connection.
//
// A stream takes one map entry at each end. The frames of all streams of a connection share
// one bounded queue and are written together, so that the tokens of many streams are sent in
// one system call. A connection that receives nothing while streams are open is probed, and closed
// if the probe isn't answered.
package savorypinmember

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypinmsgpack"
)

// FrameKind is the type of a frame. Kinds are short names of one word, as each frame
// contains its kind.
type FrameKind string

// Kinds that the transport itself uses. The kinds of messages are declared next to the
// messages.
const (
	frameEnd   FrameKind = "end"
	frameError FrameKind = "error"
	frameHello FrameKind = "hello"
	framePing  FrameKind = "ping"
	framePong  FrameKind = "pong"
	frameProof FrameKind = "proof"
	frameReply FrameKind = "reply"
)

// MaxFrameBytes is the maximum length of a frame, without its length prefix.
const MaxFrameBytes = 4 << 20

// frameLengthBytes is the size of the length prefix of a frame.
const frameLengthBytes = 4

// frameFieldCount is the number of fields of a frame: kind, stream and body.
const frameFieldCount = 3

// Errors of the transport. Callers in other packages translate them.
var (
	// ErrClosed means that the connection or stream was closed.
	ErrClosed = errors.New("member connection is closed")
	// ErrFrame means that a frame is malformed or too long.
	ErrFrame = errors.New("member frame is malformed")
	// ErrHandshake means that the handshake failed, for example because the peer doesn't know
	// the shared key.
	ErrHandshake = errors.New("member handshake failed")
	// ErrOverrun means that the peer sent more frames than the receiver of a stream buffers.
	ErrOverrun = errors.New("member stream has too many unread frames")
	// ErrUnresponsive means that a peer did not answer a probe.
	ErrUnresponsive = errors.New("member connection is unresponsive")
)

// Frame is one message of a stream. It is encoded as its length, followed by an array of its
// fields.
type Frame struct {
	Kind   FrameKind
	Stream uint64
	Body   msgpack.RawMessage
}

// Decode decodes the body of a frame into a T. The error wraps ErrFrame.
func Decode[T any](f Frame) (T, error) {
	var v T
	if err := savorypinmsgpack.Unmarshal(f.Body, &v); err != nil {
		return v, fmt.Errorf("%w: %s: %w", ErrFrame, f.Kind, err)
	}
	return v, nil
}

// frameEncoder is a buffer with an encoder that writes to it.
type frameEncoder struct {
	buf bytes.Buffer
	enc *msgpack.Encoder
}

var frameEncoders = sync.Pool{New: func() any {
	e := &frameEncoder{}
	e.enc = msgpack.NewEncoder(&e.buf)
	return e
}}

// maxPooledBytes is the capacity of the largest buffer that is returned to the pool.
const maxPooledBytes = 64 << 10

// release returns the encoder to the pool, unless its buffer has grown too large.
func (e *frameEncoder) release() {
	if e.buf.Cap() <= maxPooledBytes {
		frameEncoders.Put(e)
	}
}

// encode replaces the content of the buffer by an encoded frame. It encodes the body directly
// into the buffer, without a copy.
func (e *frameEncoder) encode(kind FrameKind, stream uint64, v any) error {
	e.buf.Reset()
	e.enc.Reset(&e.buf)
	var header [frameLengthBytes]byte
	e.buf.Write(header[:])
	if err := e.encodeFields(kind, stream, v); err != nil {
		return fmt.Errorf("%w: encode %s: %w", ErrFrame, kind, err)
	}
	n := e.buf.Len() - frameLengthBytes
	if n > MaxFrameBytes {
		return fmt.Errorf("%w: %s of %d bytes is longer than %d", ErrFrame, kind, n, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(e.buf.Bytes(), uint32(n))
	return nil
}

func (e *frameEncoder) encodeFields(kind FrameKind, stream uint64, v any) error {
	if err := e.enc.EncodeArrayLen(frameFieldCount); err != nil {
		return err
	}
	if err := e.enc.EncodeString(string(kind)); err != nil {
		return err
	}
	if err := e.enc.EncodeUint(stream); err != nil {
		return err
	}
	return e.enc.Encode(v)
}

// EncodeFrame returns the encoding of a frame whose body is v. The error wraps ErrFrame.
func EncodeFrame(kind FrameKind, stream uint64, v any) ([]byte, error) {
	e := frameEncoders.Get().(*frameEncoder)
	defer e.release()
	if err := e.encode(kind, stream, v); err != nil {
		return nil, err
	}
	return bytes.Clone(e.buf.Bytes()), nil
}

// ReadFrame reads one frame. It returns io.EOF at the end of the input. The error wraps ErrFrame
// if the frame is malformed or too long.
func ReadFrame(r *bufio.Reader) (Frame, error) {
	header, err := r.Peek(frameLengthBytes)
	if err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(header)
	if n > MaxFrameBytes {
		return Frame{}, fmt.Errorf("%w: length %d is over %d", ErrFrame, n, MaxFrameBytes)
	}
	if _, err := r.Discard(frameLengthBytes); err != nil {
		return Frame{}, err
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return Frame{}, err
	}
	f, err := parseFrame(data)
	if err != nil {
		return Frame{}, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return f, nil
}

// frameDecoder is a reader with a decoder that reads from it.
type frameDecoder struct {
	dec    *msgpack.Decoder
	reader bytes.Reader
}

var frameDecoders = sync.Pool{New: func() any {
	d := &frameDecoder{}
	d.dec = msgpack.NewDecoder(&d.reader)
	return d
}}

// parseFrame splits a frame into its fields. The body shares memory with data.
func parseFrame(data []byte) (Frame, error) {
	d := frameDecoders.Get().(*frameDecoder)
	defer frameDecoders.Put(d)
	d.reader.Reset(data)
	d.dec.Reset(&d.reader)
	n, err := d.dec.DecodeArrayLen()
	if err != nil {
		return Frame{}, err
	}
	if n != frameFieldCount {
		return Frame{}, fmt.Errorf("frame has %d fields", n)
	}
	kind, err := d.dec.DecodeString()
	if err != nil {
		return Frame{}, err
	}
	stream, err := d.dec.DecodeUint64()
	if err != nil {
		return Frame{}, err
	}
	return Frame{Kind: FrameKind(kind), Stream: stream, Body: data[len(data)-d.reader.Len():]}, nil
}

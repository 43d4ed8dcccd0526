package savorypingossip

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinmirror"
	"savorypin/internal/savorypinpack"
	"savorypin/internal/savorypinseal"
)

// Settings of the transfer of changes.
const (
	// frameBytes bounds a frame: the largest value of the platform's store for
	// each of some hundred objects would be more than a gateway can hold.
	frameBytes = 16 << 20
	// syncTimeout bounds a transfer.
	syncTimeout = time.Second
	// headBytes is the size of the length before a frame.
	headBytes = 4
)

// errFrame means that a frame is too long.
var errFrame = errors.New("frame is too long")

// request asks for the changes of a kind.
type request struct {
	// Era is the era of the store to which Since belongs.
	Era  int64          `msgpack:"e,omitempty"`
	Kind savorypin.Kind `msgpack:"k"`
	// Nonce is drawn for each request, so that an old answer is none to it.
	Nonce []byte `msgpack:"n"`
	Since int64  `msgpack:"s"`
}

// nonceBytes is the length of a nonce.
const nonceBytes = 16

// answerPurpose returns the purpose with which the answer to a request is sealed.
func answerPurpose(nonce []byte) string {
	return purposeTransfer + " answer " + string(nonce)
}

// SyncServer serves the changes of mirrors over TCP to other gateways.
type SyncServer struct {
	// Address is where it listens.
	Address string
	// Clock is the boot-time clock.
	Clock func() time.Duration
	Log   *savorypinevent.Log
	// Mirrors are the mirrors by kind.
	Mirrors map[savorypin.Kind]*savorypinmirror.Mirror
	// Sealer authenticates requests and answers.
	Sealer *savorypinseal.Sealer
}

// Run serves until ctx ends.
func (s *SyncServer) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for changes on %s: %w", s.Address, err)
	}
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept requests for changes: %w", err)
		}
		if err != nil {
			// Too many open files or a connection that broke at once; both pass.
			time.Sleep(acceptPause)
			continue
		}
		go s.Log.Contain("serve changes", func() { s.serve(conn) })
	}
}

// acceptPause is the time after a failed accept.
const acceptPause = 50 * time.Millisecond

// serve answers one request. A peer that does not finish it in time has lost
// the connection and asks again.
func (s *SyncServer) serve(conn net.Conn) {
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(syncTimeout)); err != nil {
		return
	}
	var req request
	if err := readFrame(conn, s.Sealer, purposeTransfer, &req); err != nil {
		// The asker sees a closed connection; it may be no gateway.
		s.Log.Debug("request for changes ignored", "err", err)
		return
	}
	mirror := s.Mirrors[req.Kind]
	if mirror == nil {
		return
	}
	// The asker sees a broken connection if the answer can't be written.
	_ = writeFrame(conn, s.Sealer, answerPurpose(req.Nonce), s.transfer(mirror.Since(req.Since, req.Era)))
}

// Transfer is what a gateway has of a kind that another one lacks.
type Transfer struct {
	// Age is how long ago the copy was confirmed from which it is; negative for never.
	Age   Age                   `msgpack:"g"`
	Delta savorypinmirror.Delta `msgpack:"d"`
}

func (s *SyncServer) transfer(d savorypinmirror.Delta) Transfer {
	t := Transfer{Age: Never, Delta: d}
	if d.Confirmed > 0 {
		t.Age = Age(s.Clock() - d.Confirmed)
	}
	return t
}

// Fetch returns the changes of a kind at another gateway since a version of an era.
func Fetch(
	ctx context.Context,
	sealer *savorypinseal.Sealer,
	address string,
	kind savorypin.Kind,
	since, era int64,
) (Transfer, error) {
	req := request{Era: era, Kind: kind, Nonce: make([]byte, nonceBytes), Since: since}
	if _, err := rand.Read(req.Nonce); err != nil {
		return Transfer{}, fmt.Errorf("draw nonce: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Transfer{}, fmt.Errorf("ask for changes: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(syncTimeout)); err != nil {
		return Transfer{}, fmt.Errorf("ask for changes: %w", err)
	}
	if err := writeFrame(conn, sealer, purposeTransfer, req); err != nil {
		return Transfer{}, fmt.Errorf("ask for changes: %w", err)
	}
	var t Transfer
	if err := readFrame(conn, sealer, answerPurpose(req.Nonce), &t); err != nil {
		return Transfer{}, fmt.Errorf("read changes: %w", err)
	}
	return t, nil
}

func writeFrame[T any](w io.Writer, sealer *savorypinseal.Sealer, purpose string, v T) error {
	encoded, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	packed, err := compress(encoded)
	if err != nil {
		return err
	}
	data := sealer.Seal(purpose, packed)
	if len(data) > frameBytes {
		return errFrame
	}
	frame := make([]byte, headBytes, headBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

func readFrame[T any](r io.Reader, sealer *savorypinseal.Sealer, purpose string, v *T) error {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > frameBytes {
		return errFrame
	}
	data := make([]byte, n)
	if _, err := io.ReadFull(r, data); err != nil {
		return err
	}
	opened, err := sealer.Open(purpose, data)
	if err != nil {
		return err
	}
	encoded, err := decompress(opened)
	if err != nil {
		return err
	}
	return savorypinpack.Unmarshal(encoded, v)
}

package savorypingossip

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinmirror"
	"savorypin/internal/savorypinmsgpack"
	"savorypin/internal/savorypinseal"
)

// Settings of the transfer of changes.
const (
	// maxFrameBytes bounds a frame. Some hundred objects of the largest size that the
	// platform's store accepts would need more memory than a gateway has.
	maxFrameBytes = 16 << 20
	// maxRequestBytes bounds a frame of a request, which anyone who reaches the port may send.
	maxRequestBytes = 4 << 10
	// syncTimeout bounds a transfer.
	syncTimeout = time.Second
	// headerBytes is the size of the length prefix of a frame.
	headerBytes = 4
)

var errFrameTooLong = errors.New("frame is too long")

// changesRequest requests the changes of a kind.
type changesRequest struct {
	// Era is the era of the store to which Since belongs.
	Era  int64          `msgpack:"e,omitempty"`
	Kind savorypin.Kind `msgpack:"k"`
	// Nonce is random for each request, so that an earlier answer can't be replayed.
	Nonce []byte `msgpack:"n"`
	Since int64  `msgpack:"s"`
}

// nonceBytes is the length of a nonce.
const nonceBytes = 16

// answerPurpose returns the purpose with which the answer to a request is sealed. It contains
// the nonce of the request, which binds the answer to it.
func answerPurpose(nonce []byte) string {
	return purposeTransfer + " answer " + string(nonce)
}

// SyncServer serves the changes of mirrors to other gateways over TCP.
type SyncServer struct {
	// Address is the TCP address on which it listens.
	Address string
	// Clock is the boot-time clock.
	Clock func() time.Duration
	Log   *savorypinevent.Log
	// Mirrors are the mirrors by kind.
	Mirrors map[savorypin.Kind]*savorypinmirror.Mirror
	// Requests is the maximum number of connections whose request is not complete, and that of
	// answers in progress. Beyond it the oldest of the former is closed, and answers wait.
	Requests int
	// Sealer authenticates requests and answers.
	Sealer *savorypinseal.Sealer

	mu sync.Mutex
	// reading are the connections whose request isn't complete, the oldest first.
	reading []net.Conn
}

// Run serves until ctx ends. It returns the error of the context, or another error if it can't
// listen.
func (s *SyncServer) Run(ctx context.Context) error {
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return fmt.Errorf("listen for changes on %s: %w", s.Address, err)
	}
	defer context.AfterFunc(ctx, func() { l.Close() })()
	answers := make(chan struct{}, max(1, s.Requests))
	for {
		conn, err := l.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept requests for changes: %w", err)
		}
		if err != nil {
			// Too many open files, or a connection that was closed at once. Both are
			// temporary.
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.beginReading(conn)
		go s.Log.RunRecovered("serve changes", func() { s.serve(conn, answers) })
	}
}

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 50 * time.Millisecond

// beginReading records a connection whose request isn't complete, and closes the oldest one if there are
// too many. An honest peer sends its request at once.
func (s *SyncServer) beginReading(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reading) >= max(1, s.Requests) {
		// The peer may have closed it already.
		_ = s.reading[0].Close()
		s.reading = slices.Delete(s.reading, 0, 1)
	}
	s.reading = append(s.reading, conn)
}

func (s *SyncServer) endReading(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.reading, conn); i >= 0 {
		s.reading = slices.Delete(s.reading, i, i+1)
	}
}

// serve answers one request. A peer whose request or answer takes longer than syncTimeout is
// disconnected and has to retry.
func (s *SyncServer) serve(conn net.Conn, answers chan struct{}) {
	defer conn.Close()
	defer s.endReading(conn)
	if err := conn.SetDeadline(time.Now().Add(syncTimeout)); err != nil {
		return
	}
	var req changesRequest
	if err := readFrame(conn, s.Sealer, purposeTransfer, maxRequestBytes, &req); err != nil {
		// The peer sees a closed connection. It may not be a gateway.
		s.Log.Debug("failed to read a request for changes", "err", err)
		return
	}
	mirror := s.Mirrors[req.Kind]
	if mirror == nil {
		return
	}
	s.endReading(conn)
	// Each answer ends within syncTimeout.
	answers <- struct{}{}
	defer func() { <-answers }()
	// If the answer can't be written, the peer sees a broken connection.
	_ = writeFrame(conn, s.Sealer, answerPurpose(req.Nonce), s.newTransfer(mirror.ChangesSince(req.Since, req.Era)))
}

// Transfer is the changes of a kind that another gateway lacks.
type Transfer struct {
	// Age is the time since the copy from which the changes come was confirmed; negative for
	// never.
	Age   Age                   `msgpack:"g"`
	Delta savorypinmirror.Delta `msgpack:"d"`
}

func (s *SyncServer) newTransfer(d savorypinmirror.Delta) Transfer {
	t := Transfer{Age: Never, Delta: d}
	if d.ConfirmedAt > 0 {
		t.Age = Age(s.Clock() - d.ConfirmedAt)
	}
	return t
}

// Fetch returns another gateway's changes of a kind since a version of an era. It returns an
// error if the gateway can't be reached or has no copy of the kind.
func Fetch(
	ctx context.Context,
	sealer *savorypinseal.Sealer,
	address string,
	kind savorypin.Kind,
	since, era int64,
) (Transfer, error) {
	req := changesRequest{Era: era, Kind: kind, Nonce: make([]byte, nonceBytes), Since: since}
	if _, err := rand.Read(req.Nonce); err != nil {
		return Transfer{}, fmt.Errorf("generate nonce: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return Transfer{}, fmt.Errorf("request changes: %w", err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(syncTimeout)); err != nil {
		return Transfer{}, fmt.Errorf("request changes: %w", err)
	}
	if err := writeFrame(conn, sealer, purposeTransfer, req); err != nil {
		return Transfer{}, fmt.Errorf("request changes: %w", err)
	}
	var t Transfer
	if err := readFrame(conn, sealer, answerPurpose(req.Nonce), maxFrameBytes, &t); err != nil {
		return Transfer{}, fmt.Errorf("read changes: %w", err)
	}
	return t, nil
}

func writeFrame[T any](w io.Writer, sealer *savorypinseal.Sealer, purpose string, v T) error {
	encoded, err := msgpack.Marshal(v)
	if err != nil {
		return err
	}
	compressed, err := compress(encoded)
	if err != nil {
		return err
	}
	data := sealer.Seal(purpose, compressed)
	if len(data) > maxFrameBytes {
		return errFrameTooLong
	}
	frame := make([]byte, headerBytes, headerBytes+len(data))
	binary.BigEndian.PutUint32(frame, uint32(len(data)))
	_, err = w.Write(append(frame, data...))
	return err
}

func readFrame[T any](r io.Reader, sealer *savorypinseal.Sealer, purpose string, limit uint32, v *T) error {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > limit {
		return errFrameTooLong
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
	return savorypinmsgpack.Unmarshal(encoded, v)
}

package savorypinmember_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// stuckConn is a connection whose writes block while stuck is set, until it is closed.
type stuckConn struct {
	net.Conn

	closed chan struct{}
	stuck  *atomic.Bool
}

func (c stuckConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.Conn.Close()
}

func (c stuckConn) Write(data []byte) (int, error) {
	if c.stuck.Load() {
		<-c.closed
	}
	return c.Conn.Write(data)
}

var _ = Describe("Stream", func() {
	// flood sends tokens until the stream ends.
	flood := func(ctx context.Context, s *savorypinmember.Stream, _ savorypinmember.Frame) error {
		msg := savorypinmember.Tokens{Tokens: []savorypin.Token{{ID: 1, Text: "word "}}}
		for {
			if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
				return err
			}
		}
	}

	It("that is not read neither blocks other streams nor buffers an unlimited number of frames", func(ctx SpecContext) {
		handlers := map[savorypinmember.FrameKind]savorypinmember.Handler{
			savorypinmember.FrameStart: flood,
			savorypinmember.FrameStop: savorypinmember.HandleCall(
				func(_ context.Context, _ savorypinmember.Hello, req savorypinmember.Stop) (savorypinmember.Stop, error) {
					return req, nil
				}),
		}
		_, address := listen("server", "a key of the daemons", handlers)
		client, _ := listen("client", "a key of the daemons", nil)
		conn, err := client.Get(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		unread, err := conn.Open()
		Expect(err).NotTo(HaveOccurred())
		Expect(unread.Send(ctx, savorypinmember.FrameStart, struct{}{})).To(Succeed())
		for range 100 {
			_, err := savorypinmember.Call[savorypinmember.Stop, savorypinmember.Stop](
				ctx, client, address, savorypinmember.FrameStop, savorypinmember.Stop{By: "ops"})
			Expect(err).NotTo(HaveOccurred())
		}
		received := 0
		Eventually(func() error {
			_, err := unread.Receive(ctx)
			if err == nil {
				received++
			}
			return err
		}).WithTimeout(time.Minute).WithPolling(time.Microsecond).Should(MatchError(savorypinmember.ErrOverrun))
		Expect(received).To(BeNumerically("<=", 4096))
	})

	It("can be closed at once while writes of the connection block", func(ctx SpecContext) {
		_, address := listen("server", "a key of the daemons", map[savorypinmember.FrameKind]savorypinmember.Handler{})
		var stuck atomic.Bool
		client := savorypinmember.NewTransport(savorypinmember.TransportConfig{
			Dial: func(address string, timeout time.Duration) (net.Conn, error) {
				conn, err := net.DialTimeout("tcp", address, timeout)
				return stuckConn{Conn: conn, closed: make(chan struct{}), stuck: &stuck}, err
			},
			HandshakeTimeout: time.Minute,
			IdleProbeAfter:   time.Minute,
			Key:              []byte("a key of the daemons"),
			ProbeAfter:       time.Minute,
			Self:             savorypinmember.Hello{Name: "client"},
			ProbeTimeout:     time.Minute,
		})
		DeferCleanup(client.Close)
		conn, err := client.Get(ctx, address)
		Expect(err).NotTo(HaveOccurred())
		s, err := conn.Open()
		Expect(err).NotTo(HaveOccurred())
		stuck.Store(true)
		sendCtx, cancel := context.WithCancel(ctx)
		sendErr := make(chan error)
		go func() {
			by := strings.Repeat("x", 64<<10)
			for {
				if err := s.Send(sendCtx, savorypinmember.FrameStop, savorypinmember.Stop{By: by}); err != nil {
					sendErr <- err
					return
				}
			}
		}()
		Expect(s.SendNow(savorypinmember.FrameAck, savorypinmember.Ack{Next: 1})).To(Succeed())
		cancel()
		Expect(<-sendErr).To(MatchError(context.Canceled))
		s.Close()
		Expect(conn.Streams()).To(BeZero())
	})
})

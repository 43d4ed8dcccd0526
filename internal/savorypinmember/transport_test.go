package savorypinmember_test

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

func FuzzReadFrame(f *testing.F) {
	valid, err := savorypinmember.EncodeFrame(savorypinmember.FrameAck, 3, savorypinmember.Ack{Next: 7})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 1, 0xc1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		frame, err := savorypinmember.ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		if err == nil {
			_, _ = savorypinmember.Decode[savorypinmember.Start](frame)
		}
	})
}

// listen returns a transport that serves the handlers on a local port, and its address.
func listen(name, key string, handlers map[savorypinmember.FrameKind]savorypinmember.Handler) (*savorypinmember.Transport, string) {
	t := savorypinmember.NewTransport(savorypinmember.TransportConfig{
		Handlers:         handlers,
		HandshakeTimeout: 5 * time.Second,
		IdleProbeAfter:   time.Minute,
		Key:              []byte(key),
		ProbeAfter:       time.Minute,
		Self:             savorypinmember.Hello{Name: name},
		ProbeTimeout:     time.Minute,
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer GinkgoRecover()
		Expect(t.Serve(ln)).To(Succeed())
	}()
	DeferCleanup(func() {
		t.Close()
		<-done
	})
	return t, ln.Addr().String()
}

var _ = Describe("A transport that is closed before it serves", func() {
	It("closes the listener, and Serve returns", func() {
		t := savorypinmember.NewTransport(savorypinmember.TransportConfig{})
		t.Close()
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() { done <- t.Serve(ln) }()
		Eventually(done, "5s").Should(Receive(BeNil()))
		_, err = net.Dial("tcp", ln.Addr().String())
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("Transport", func() {
	echo := map[savorypinmember.FrameKind]savorypinmember.Handler{
		savorypinmember.FrameStop: savorypinmember.HandleCall(
			func(_ context.Context, _ savorypinmember.Hello, req savorypinmember.Stop) (savorypinmember.Stop, error) {
				if req.By == "" {
					return req, savorypin.Errorf(savorypin.KindInvalid, "stop", "by is missing").WithRetryAfter(time.Second)
				}
				return req, nil
			}),
	}

	call := func(ctx context.Context, t *savorypinmember.Transport, address, by string) (savorypinmember.Stop, error) {
		return savorypinmember.Call[savorypinmember.Stop, savorypinmember.Stop](
			ctx, t, address, savorypinmember.FrameStop, savorypinmember.Stop{By: by})
	}

	It("uses one connection for many calls", func(ctx SpecContext) {
		server, address := listen("server", "a key of the daemons", echo)
		client, _ := listen("client", "a key of the daemons", nil)
		for range 100 {
			answer, err := call(ctx, client, address, "ops")
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.By).To(Equal("ops"))
		}
		Expect(server.Connections()).To(Equal(1))
	})

	It("returns the typed error of a handler", func(ctx SpecContext) {
		_, address := listen("server", "a key of the daemons", echo)
		client, _ := listen("client", "a key of the daemons", nil)
		_, err := call(ctx, client, address, "")
		var e *savorypin.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Kind).To(Equal(savorypin.KindInvalid))
		Expect(e.RetryAfter).To(Equal(time.Second))
	})

	It("returns an error to the caller if a handler panics, and serves further calls", func(ctx SpecContext) {
		handlers := maps.Clone(echo)
		handlers[savorypinmember.FrameVersion] = func(context.Context, *savorypinmember.Stream, savorypinmember.Frame) error {
			panic("bad message")
		}
		_, address := listen("server", "a key of the daemons", handlers)
		client, _ := listen("client", "a key of the daemons", nil)
		_, err := savorypinmember.Call[savorypinmember.Stop, savorypinmember.Stop](
			ctx, client, address, savorypinmember.FrameVersion, savorypinmember.Stop{})
		Expect(err).To(MatchError(ContainSubstring("bad message")))
		answer, err := call(ctx, client, address, "ops")
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.By).To(Equal("ops"))
	})

	It("refuses a peer with another key", func(ctx SpecContext) {
		_, address := listen("server", "a key of the daemons", echo)
		client, _ := listen("client", "some other key", nil)
		_, err := call(ctx, client, address, "ops")
		Expect(err).To(HaveOccurred())
	})

	It("closes a connection that sends malformed frames", func() {
		_, address := listen("server", "a key of the daemons", echo)
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		_, err = conn.Write(bytes.Repeat([]byte{0xff}, 64))
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, conn)
		Expect(err).To(Or(BeNil(), MatchError(ContainSubstring("reset"))))
	})
})

// lateListener returns one more connection after it was closed, like a listener that accepts a
// connection at the moment of the close.
type lateListener struct {
	closing chan struct{}
	conns   chan net.Conn
	once    sync.Once
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closing
	select {
	case conn := <-l.conns:
		return conn, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *lateListener) Close() error {
	l.once.Do(func() { close(l.closing) })
	return nil
}

var _ = Describe("A transport that is being closed", func() {
	It("closes a connection that is accepted during the close, without serving it", func() {
		server, client := net.Pipe()
		l := &lateListener{closing: make(chan struct{}), conns: make(chan net.Conn, 1)}
		l.conns <- server
		t := savorypinmember.NewTransport(savorypinmember.TransportConfig{HandshakeTimeout: time.Second})
		served := make(chan error, 1)
		go func() { served <- t.Serve(l) }()
		go t.Close()
		n, err := client.Read(make([]byte, 1))
		Expect(n).To(BeZero())
		Expect(err).To(MatchError(io.EOF))
		Eventually(served, "10s").Should(Receive(BeNil()))
	})
})

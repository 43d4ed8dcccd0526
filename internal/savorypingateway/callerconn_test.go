package savorypingateway

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinbuffer"
)

// smallBufferBytes is a size of the kernel's buffers that a test fills at once.
const smallBufferBytes = 32 << 10

// newCallerPair returns a connection of a caller and the caller's end.
func newCallerPair() (*callerConn, net.Conn, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, nil, err
	}
	conn, err := l.Accept()
	if err != nil {
		return nil, nil, err
	}
	return newCallerConn(conn), caller, nil
}

// newUse returns a use of the queue that calls onSlow when the caller proves slow, and the number of times
// that bytes were queued for the first time.
func newUse(budget *savorypinbuffer.Budget, onSlow func()) (*bufferUse, *int) {
	begun := 0
	return &bufferUse{
		ctx: context.Background(), holder: budget.NewHolder(savorypinbuffer.HolderConfig{}),
		onBuffering: func() { begun++; onSlow() }, onFull: onSlow,
	}, &begun
}

var _ = Describe("A connection of a caller", func() {
	// Guards against a goroutine for each stream, which costs wake-ups although the caller keeps up.
	It("queues nothing for a caller that keeps up", func() {
		conn, caller, err := newCallerPair()
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		DeferCleanup(conn.Close)
		use, begun := newUse(savorypinbuffer.New(1<<20), func() {})
		conn.begin(use)
		event := make([]byte, 200)
		for range 1000 {
			_, err := conn.Write(event)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadFull(caller, event)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(conn.finish()).To(Succeed())
		Expect(*begun).To(BeZero())
	})

	// Guards against bytes that are lost, repeated or mixed between direct and queued writes, and against
	// memory that stays reserved.
	It("passes on all bytes in order, whatever the caller's speed and the budget", func() {
		for _, limit := range []int64{0, blockBytes, 3 * blockBytes, 64 << 20} {
			conn, caller, err := newCallerPair()
			Expect(err).NotTo(HaveOccurred())
			Expect(conn.Conn.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)).To(Succeed())
			Expect(caller.(*net.TCPConn).SetReadBuffer(smallBufferBytes)).To(Succeed())
			budget := savorypinbuffer.New(limit)
			queued := 0
			received := make(chan int, 1)
			slow := make(chan struct{})
			start := sync.OnceFunc(func() { close(slow) })
			go func() {
				<-slow
				n, buf := 0, make([]byte, 10_000)
				for {
					m, err := caller.Read(buf)
					for i := range m {
						if buf[i] != byte((n+i)*7>>8) {
							received <- -1
							return
						}
					}
					n += m
					if err != nil {
						received <- n
						return
					}
				}
			}()
			sent := 0
			for round := range 3 {
				use, begun := newUse(budget, start)
				conn.begin(use)
				for i := range 100 {
					p := make([]byte, 1+(i*(round+1)*37)%9000)
					for j := range p {
						p[j] = byte((sent + j) * 7 >> 8)
					}
					n, err := conn.Write(p)
					Expect(err).NotTo(HaveOccurred())
					Expect(n).To(Equal(len(p)))
					sent += n
				}
				Expect(conn.finish()).To(Succeed())
				Expect(budget.Used()).To(BeZero())
				queued += *begun
			}
			Expect(slow).To(BeClosed())
			Expect(queued > 0).To(Equal(limit > 0))
			conn.Close()
			Eventually(received, "20s").Should(Receive(Equal(sent)))
			caller.Close()
		}
	})

	// Guards against streams that wait for each other's locks for good when they make each other give way, and
	// against memory that stays reserved after that.
	It("ends with all of its bytes or none of the rest when many streams of all priorities are slow", func() {
		const streams, streamBytes = 24, 1 << 20
		budget := savorypinbuffer.New(16 * blockBytes)
		slow := make(chan struct{})
		start := sync.OnceFunc(func() { close(slow) })
		ended := make(chan bool, streams)
		for i := range streams {
			conn, caller, err := newCallerPair()
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(caller.Close)
			Expect(conn.Conn.(*net.TCPConn).SetWriteBuffer(smallBufferBytes)).To(Succeed())
			Expect(caller.(*net.TCPConn).SetReadBuffer(smallBufferBytes)).To(Succeed())
			use := &bufferUse{ctx: context.Background(), onBuffering: func() {}, onFull: start}
			use.holder = budget.NewHolder(savorypinbuffer.HolderConfig{Priority: i % 3, Yield: func(int64) { conn.yield(use) }})
			received := make(chan int64, 1)
			go func() {
				<-slow
				n, _ := io.Copy(io.Discard, caller)
				received <- n
			}()
			go func() {
				conn.begin(use)
				for range streamBytes / 1024 {
					if _, err := conn.Write(make([]byte, 1024)); err != nil {
						break
					}
				}
				err := conn.finish()
				conn.Close()
				n := <-received
				ended <- err == nil && n == streamBytes || err != nil && n < streamBytes
			}()
		}
		for range streams {
			Eventually(ended, "20s").Should(Receive(BeTrue()))
		}
		Expect(budget.Used()).To(BeZero())
	})
})

// BenchmarkCallerWrite measures the write of an event to a caller that keeps up.
func BenchmarkCallerWrite(b *testing.B) {
	for _, c := range []struct {
		name   string
		queued bool
	}{{"direct", false}, {"queued", true}} {
		b.Run(c.name, func(b *testing.B) {
			conn, caller, err := newCallerPair()
			if err != nil {
				b.Fatal(err)
			}
			defer caller.Close()
			defer conn.Close()
			if c.queued {
				use, _ := newUse(savorypinbuffer.New(1<<20), func() {})
				conn.begin(use)
			}
			event := make([]byte, 200)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := conn.Write(event); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadFull(caller, event); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

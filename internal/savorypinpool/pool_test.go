package savorypinpool_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"savorypin/internal/savorypinpool"
)

// peer accepts connections and passes them to the test.
type peer struct {
	address string
	conns   chan net.Conn
}

func newPeer() *peer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(ln.Close)
	p := &peer{address: ln.Addr().String(), conns: make(chan net.Conn, 10)}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			p.conns <- conn
		}
	}()
	return p
}

var _ = Describe("A connection of the pool", func() {
	var now atomic.Int64
	var p *peer
	var pool *savorypinpool.Pool
	BeforeEach(func() {
		now.Store(time.Unix(1000, 0).UnixNano())
		p = newPeer()
		pool = savorypinpool.New(savorypinpool.Config{Now: func() time.Time { return time.Unix(0, now.Load()) }})
	})
	get := func() *savorypinpool.Conn {
		c, err := pool.Get(context.Background(), p.address, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		return c
	}

	It("is reused within the idle timeout of the endpoint", func() {
		pool.Put(get(), 10*time.Second)
		now.Add(int64(9 * time.Second))
		Expect(get().Reused()).To(BeTrue())
		Expect(pool.Opened()).To(Equal(int64(1)))
	})

	It("is reused although the deadline of its last request has passed", func() {
		c := get()
		Expect(c.SetReadDeadline(time.Unix(1, 0))).To(Succeed())
		pool.Put(c, 10*time.Second)
		Expect(get().Reused()).To(BeTrue())
	})

	for _, tc := range []struct {
		name      string
		breakConn func(server net.Conn)
		elapsed   time.Duration
	}{
		{"shortly before the endpoint's idle timeout", func(net.Conn) {}, 9600 * time.Millisecond},
		{"after the endpoint has closed it", func(server net.Conn) { server.Close() }, 0},
		{"after receiving an unsolicited response", func(server net.Conn) {
			_, err := io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			Expect(err).NotTo(HaveOccurred())
		}, 0},
	} {
		It("is not reused "+tc.name, func() {
			c := get()
			server := <-p.conns
			tc.breakConn(server)
			if tc.elapsed == 0 {
				// The close or the response takes a moment to arrive over loopback.
				Eventually(func() bool {
					pool.Put(c, 10*time.Second)
					c = get()
					return c.Reused()
				}, "5s").Should(BeFalse())
				return
			}
			pool.Put(c, 10*time.Second)
			now.Add(int64(tc.elapsed))
			Expect(get().Reused()).To(BeFalse())
		})
	}

	// Guards against a request that can't be repeated and is given up while its endpoint's host is silent.
	It("outlasts the silence of its peer for as long as it is told, until it is reused", func() {
		var dialed net.Conn
		pool := savorypinpool.New(savorypinpool.Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
			var err error
			dialed, err = (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return dialed, err
		}})
		probes := func() int {
			raw, err := dialed.(*net.TCPConn).SyscallConn()
			Expect(err).NotTo(HaveOccurred())
			count := 0
			Expect(raw.Control(func(fd uintptr) {
				count, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
			})).To(Succeed())
			Expect(err).NotTo(HaveOccurred())
			return count
		}
		c, err := pool.Open(context.Background(), p.address, 5*time.Second)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.TolerateSilence(25 * time.Second)).To(Succeed())
		Expect(probes()).To(Equal(24))
		Expect(c.TolerateSilence(time.Hour)).To(Succeed())
		Expect(probes()).To(Equal(127))
		pool.Put(c, 10*time.Second)
		Expect(probes()).To(Equal(3))
	})

	It("is closed by CloseIdle and, after the idle timeout, by Sweep", func() {
		pool.Put(get(), 10*time.Second)
		pool.CloseIdle(p.address)
		Expect(get().Reused()).To(BeFalse())
		pool.Put(get(), 10*time.Second)
		now.Add(int64(time.Minute))
		pool.Sweep()
		Expect(get().Reused()).To(BeFalse())
	})

	It("knows the requests that were refused on it, and is given up after many", func() {
		c := get()
		refusals := 0
		for c.RecordRefusal(fmt.Sprint("r", refusals)) {
			refusals++
		}
		Expect(refusals).To(BeNumerically(">", 10))
		Expect(c.HasRefused("r1")).To(BeTrue())
		Expect(c.HasRefused("r")).To(BeFalse())
	})

	It("sends the request unchanged and skips interim responses", func() {
		c := get()
		server := <-p.conns
		go func() {
			defer GinkgoRecover()
			buf := make([]byte, 1024)
			n, err := server.Read(buf)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(buf[:n])).To(Equal("POST /a%20b?c HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nContent-Length: 2\r\n\r\nhi"))
			_, err = io.WriteString(server, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			Expect(err).NotTo(HaveOccurred())
		}()
		Expect(c.Send(savorypinpool.Request{
			Body: []byte("hi"), Header: http.Header{"X-A": {"1"}}, Host: "h", Method: "POST", URI: "/a%20b?c",
		}, time.Now().Add(5*time.Second))).To(Succeed())
		resp, err := c.Receive("POST")
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("ok"))
	})

	It("that is refused is reported as ErrConnect", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address := ln.Addr().String()
		ln.Close()
		_, err = pool.Get(context.Background(), address, time.Second)
		Expect(err).To(MatchError(savorypinpool.ErrConnect))
	})
})

package savorypinweb_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinweb"
)

// budgetServer is a server whose connections a budget limits. It answers each request after a signal if
// the path is /slow.
type budgetServer struct {
	address string
	budget  *savorypinweb.Budget
	evicted atomic.Int64
	release chan struct{}
}

func newBudgetServer(cfg savorypinweb.BudgetConfig) *budgetServer {
	s := &budgetServer{release: make(chan struct{})}
	cfg.Evicted = func(e savorypinweb.Eviction) { s.evicted.Add(int64(e.Connections)) }
	s.budget = savorypinweb.NewBudget(cfg)
	l, err := savorypinweb.Listen(context.Background(), "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s.address = l.Addr().String()
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !savorypinweb.Begin(r.Context()) {
			panic(http.ErrAbortHandler)
		}
		if r.URL.Path == "/slow" {
			<-s.release
		}
		_, _ = io.WriteString(w, "ok")
	})}
	done := make(chan error, 1)
	go func() { done <- s.budget.Serve(server, l) }()
	DeferCleanup(func() {
		server.Close()
		Eventually(done, "10s").Should(Receive(MatchError(http.ErrServerClosed)))
	})
	return s
}

// dial opens a connection and sends text.
func (s *budgetServer) dial(text string) net.Conn {
	conn, err := net.Dial("tcp", s.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

func (s *budgetServer) open() int {
	n, _ := s.budget.Held()
	return n
}

func (s *budgetServer) held() int64 {
	_, bytes := s.budget.Held()
	return bytes
}

const request = " HTTP/1.1\r\nHost: h\r\n\r\n"

// expectResponse expects a response on a connection.
func expectResponse(conn net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(string(body)).To(Equal("ok"))
}

// expectClosed expects that the server closes a connection without a response.
func expectClosed(conn net.Conn) {
	n, err := conn.Read(make([]byte, 1))
	Expect(n).To(BeZero())
	Expect(err).To(HaveOccurred())
}

var _ = Describe("A budget of connections", func() {
	// Guards against silent connections that keep new callers out.
	It("closes the connection that has been silent for longest, for a new one", func() {
		s := newBudgetServer(savorypinweb.BudgetConfig{Connections: 2})
		first := s.dial("")
		Eventually(s.open).Should(Equal(1))
		second := s.dial("")
		Eventually(s.open).Should(Equal(2))
		third := s.dial("GET /" + request)
		expectResponse(third)
		expectClosed(first)
		_, err := io.WriteString(second, "GET /"+request)
		Expect(err).NotTo(HaveOccurred())
		expectResponse(second)
		Expect(s.evicted.Load()).To(Equal(int64(1)))
	})

	// Guards against the loss of a request that may have run.
	It("never closes a connection with a request in progress, and lets new ones wait", func() {
		s := newBudgetServer(savorypinweb.BudgetConfig{Connections: 1, Bytes: 100 << 10})
		busy := s.dial("GET /slow" + request)
		Eventually(func() bool { return s.open() == 1 && s.held() == 0 }).Should(BeTrue())
		next := s.dial("GET /" + request)
		Consistently(s.evicted.Load, "200ms").Should(BeZero())
		close(s.release)
		expectResponse(busy)
		expectResponse(next)
	})

	for _, tc := range []struct{ name, text string }{
		{"a head of small fields", "GET /" + strings.TrimSuffix(request, "\r\n") + strings.Repeat("a:\r\n", 400)},
		{"a body that does not come", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n"},
	} {
		// Guards against parts of requests that take memory without end.
		It("closes the connection that holds "+tc.name, func() {
			s := newBudgetServer(savorypinweb.BudgetConfig{Connections: 3, Bytes: 400 << 10})
			holder := s.dial(tc.text)
			Eventually(s.open).Should(Equal(1))
			time.Sleep(50 * time.Millisecond)
			var others []net.Conn
			for range 3 {
				others = append(others, s.dial("GET /slow"+request))
			}
			expectClosed(holder)
			close(s.release)
			for _, conn := range others {
				expectResponse(conn)
			}
		})
	}

	// Guards against a caller's idle connection that is closed while it sends its next request.
	It("closes an idle connection of an earlier request after a silent one", func() {
		s := newBudgetServer(savorypinweb.BudgetConfig{Connections: 2, IdleTimeout: time.Minute})
		reused := s.dial("GET /" + request)
		expectResponse(reused)
		silent := s.dial("")
		Eventually(s.open).Should(Equal(2))
		time.Sleep(50 * time.Millisecond)
		expectResponse(s.dial("GET /" + request))
		expectClosed(silent)
		_, err := io.WriteString(reused, "GET /"+request)
		Expect(err).NotTo(HaveOccurred())
		expectResponse(reused)
	})

	// Guards against heads that arrive byte by byte until the idle timeout.
	It("limits the time from the first byte of a head to its end", func() {
		s := newBudgetServer(savorypinweb.BudgetConfig{HeaderTimeout: 100 * time.Millisecond})
		// net/http answers a part of a line with status 400.
		_, _ = io.Copy(io.Discard, s.dial("GET /"))
		Eventually(s.open).Should(BeZero())
		Expect(s.held()).To(BeZero())
	})

	// Guards against requests in progress whose heads hold many times their size, and against a refusal of a
	// head that is within its limits while there is memory for it.
	for _, c := range []struct {
		name   string
		cfg    savorypinweb.BudgetConfig
		fields int
		want   int
	}{
		{"serves a head with many fields", savorypinweb.BudgetConfig{}, 300, http.StatusOK},
		{"refuses a head with more fields than lines are allowed", savorypinweb.BudgetConfig{Lines: 250}, 300, http.StatusRequestHeaderFieldsTooLarge},
		{"refuses a head with many fields as not run if the memory is used up", savorypinweb.BudgetConfig{Bytes: 100 << 10}, 300, http.StatusServiceUnavailable},
		{"serves a head with few fields in little memory", savorypinweb.BudgetConfig{Bytes: 100 << 10}, 200, http.StatusOK},
	} {
		It(c.name, func() {
			s := newBudgetServer(c.cfg)
			fields := strings.Builder{}
			for i := range c.fields {
				fmt.Fprintf(&fields, "X-%d:\r\n", i)
			}
			conn := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + fields.String() + "\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(c.want))
			conn.Close()
			Eventually(s.open).Should(BeZero())
			Expect(s.held()).To(BeZero())
		})
	}

	// Guards against the garbage of heads that are parsed and then refused.
	It("refuses a head with too many lines before its end", func() {
		s := newBudgetServer(savorypinweb.BudgetConfig{})
		conn := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1100))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
	})

	// Guards against the same where so many lines are allowed, and against a refusal in calm.
	for _, c := range []struct {
		name  string
		bytes int64
		want  int
	}{
		{"serves a head with many lines in calm", 16 << 20, http.StatusOK},
		{"refuses a head with many lines as not run while connections hold much", 32 << 10, http.StatusServiceUnavailable},
	} {
		It(c.name, func() {
			s := newBudgetServer(savorypinweb.BudgetConfig{Bytes: c.bytes, Lines: 4096})
			conn := s.dial("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1100) + "\r\n")
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(c.want))
		})
	}

	It("counts nothing when its connections have closed", func() {
		s := newBudgetServer(savorypinweb.BudgetConfig{Connections: 4, Bytes: 100 << 10})
		for range 40 {
			conn := s.dial("GET / HTTP/1.1\r\nA: b\r\n")
			_, err := io.WriteString(conn, "Host: h\r\n\r\n")
			if err == nil {
				_, _ = io.ReadAll(io.LimitReader(conn, 1))
			}
			conn.Close()
		}
		Eventually(s.open).Should(BeZero())
		Expect(s.held()).To(BeZero())
	})
})

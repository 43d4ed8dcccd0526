package savorypinendpoint_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinendpoint"
	"savorypin/internal/savorypinpool"
)

// droppingServer answers a given number of requests on each connection. It reads the
// next one and closes the connection without an answer.
type droppingServer struct {
	answers  int
	ln       net.Listener
	requests atomic.Int64
}

func newDroppingServer(answers int) *droppingServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	s := &droppingServer{answers: answers, ln: ln}
	go s.serve()
	DeferCleanup(func() { ln.Close() })
	return s
}

func (s *droppingServer) serve() {
	for {
		conn, err := s.ln.Accept()
		if err != nil {
			return
		}
		go s.answer(conn)
	}
}

func (s *droppingServer) answer(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for range s.answers {
		if !s.readRequest(r) {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
	s.readRequest(r)
}

func (s *droppingServer) readRequest(r *bufio.Reader) bool {
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	buf := make([]byte, 64)
	for err == nil {
		_, err = req.Body.Read(buf)
	}
	s.requests.Add(1)
	return true
}

// sendDuplicateAnswers answers each request with the number of requests so far. When
// the next request on the connection arrives, it sends the same answer again before
// that to the new request.
func sendDuplicateAnswers(conn net.Conn, calls *atomic.Int64) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	duplicate := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// Requests have no body.
		req.Body.Close()
		if _, err := io.WriteString(conn, duplicate); err != nil {
			return
		}
		duplicate = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", calls.Add(1))
		if _, err := io.WriteString(conn, duplicate); err != nil {
			return
		}
	}
}

var _ = Describe("Plain", func() {
	for _, tc := range []struct {
		name    string
		answers int
		body    string
	}{
		{"a new connection is closed without an answer", 0, `{"crib":7}`},
		{"a new connection is closed without an answer and the body is empty", 0, ""},
		{"a reused connection is closed without an answer", 1, `{"crib":7}`},
		{"a reused connection is closed without an answer and the body is empty", 1, ""},
	} {
		It("does not repeat a call with a key if "+tc.name, func(ctx SpecContext) {
			server := newDroppingServer(tc.answers)
			// Reuses connections, unlike the default client.
			client := &http.Client{Transport: savorypinpool.NewTransport(savorypinpool.TransportConfig{})}
			plain := savorypinendpoint.NewPlain(savorypinendpoint.PlainConfig{HTTPClient: client, URL: "http://" + server.ln.Addr().String()})
			call := savorypinendpoint.Call{Body: []byte(tc.body), Key: "sale-1", Path: "/sale"}
			for range tc.answers {
				_, _, err := plain.Do(ctx, call)
				Expect(err).NotTo(HaveOccurred())
			}
			_, sent, err := plain.Do(ctx, call)
			Expect(err).To(MatchError(savorypinendpoint.ErrUnreachable))
			Expect(sent).To(BeTrue())
			Expect(server.requests.Load()).To(BeEquivalentTo(tc.answers + 1))
		})
	}

	It("does not mistake a late duplicate of an answer for the answer to the next call", func(ctx SpecContext) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { ln.Close() })
		var calls atomic.Int64
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go sendDuplicateAnswers(conn, &calls)
			}
		}()
		plain := savorypinendpoint.NewPlain(savorypinendpoint.PlainConfig{URL: "http://" + ln.Addr().String()})
		for _, want := range []string{"1", "2", "3"} {
			answer, _, err := plain.Do(ctx, savorypinendpoint.Call{Path: "/stock"})
			Expect(err).NotTo(HaveOccurred())
			Expect(string(answer.Body)).To(Equal(want))
		}
	})

	It("reports that nothing was sent if it cannot connect", func(ctx SpecContext) {
		server := newDroppingServer(0)
		server.ln.Close()
		plain := savorypinendpoint.NewPlain(savorypinendpoint.PlainConfig{URL: "http://" + server.ln.Addr().String()})
		_, sent, err := plain.Do(ctx, savorypinendpoint.Call{Key: "sale-1", Path: "/sale"})
		Expect(err).To(MatchError(savorypinendpoint.ErrUnreachable))
		Expect(sent).To(BeFalse())
	})
})

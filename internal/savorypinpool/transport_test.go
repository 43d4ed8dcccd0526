package savorypinpool_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinpool"
)

var _ = Describe("A transport", func() {
	var opened atomic.Int64
	var client *http.Client
	serve := func(h http.HandlerFunc) string {
		server := httptest.NewUnstartedServer(h)
		opened.Store(0)
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				opened.Add(1)
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		return server.URL
	}
	BeforeEach(func() {
		client = &http.Client{Transport: savorypinpool.NewTransport(savorypinpool.TransportConfig{})}
	})

	It("sends requests and reuses the connection once a response has been read", func() {
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			w.Header().Set("X-Host", r.Host)
			io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
		})
		for range 3 {
			resp, err := client.Post(url+"/a?b=c", "text/plain", strings.NewReader("hello"))
			Expect(err).NotTo(HaveOccurred())
			text, err := io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Body.Close()).To(Succeed())
			Expect(string(text)).To(Equal("POST /a?b=c hello"))
			Expect("http://" + resp.Header.Get("X-Host")).To(Equal(url))
		}
		Expect(opened.Load()).To(BeEquivalentTo(1))
	})

	It("streams a response and cancels the request when its body is closed", func() {
		cancelled := make(chan struct{})
		url := serve(func(w http.ResponseWriter, r *http.Request) {
			io.WriteString(w, "first")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
			close(cancelled)
		})
		resp, err := client.Get(url)
		Expect(err).NotTo(HaveOccurred())
		buf := make([]byte, 5)
		_, err = io.ReadFull(resp.Body, buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(cancelled, "10s").Should(BeClosed())
	})

	It("cancels an unanswered request at the end of its context", func() {
		arrived, cancelled := make(chan struct{}), make(chan struct{})
		url := serve(func(_ http.ResponseWriter, r *http.Request) {
			close(arrived)
			<-r.Context().Done()
			close(cancelled)
		})
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		Expect(err).NotTo(HaveOccurred())
		go func() {
			<-arrived
			cancel()
		}()
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		Expect(errors.Is(err, context.Canceled)).To(BeTrue())
		Eventually(cancelled, "10s").Should(BeClosed())
	})

	It("does not reuse a connection after a response with Connection: close", func() {
		url := serve(func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Connection", "close") })
		for range 2 {
			resp, err := client.Get(url)
			Expect(err).NotTo(HaveOccurred())
			_, err = io.ReadAll(resp.Body)
			Expect(err).NotTo(HaveOccurred())
			resp.Body.Close()
		}
		Expect(opened.Load()).To(BeEquivalentTo(2))
	})

	It("closes a connection after its idle timeout", func() {
		closed := make(chan struct{})
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				close(closed)
			}
		}
		server.Start()
		DeferCleanup(server.Close)
		resp, err := client.Get(server.URL)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(closed, "10s").Should(BeClosed())
	})

	It("verifies the certificate of a TLS endpoint before sending", func() {
		server := httptest.NewTLSServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		DeferCleanup(server.Close)
		// The test server's certificate is not trusted, so nothing may be sent.
		resp, err := client.Get(server.URL)
		if err == nil {
			resp.Body.Close()
		}
		Expect(err).To(MatchError(ContainSubstring("certificate")))
		Expect(errors.Is(err, savorypinpool.ErrConnect)).To(BeTrue())
	})

	It("returns ErrConnect for a URL whose scheme is not HTTP", func() {
		url := serve(nil)
		resp, err := client.Get(strings.Replace(url, "http", "gopher", 1))
		if err == nil {
			resp.Body.Close()
		}
		Expect(errors.Is(err, savorypinpool.ErrConnect)).To(BeTrue())
	})
})

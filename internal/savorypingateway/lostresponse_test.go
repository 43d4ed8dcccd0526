package savorypingateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// crashingFleet is a gateway in front of endpoints that crash when they get a request. Whoever opens
// a connection to a crashed endpoint waits until gate is opened.
type crashingFleet struct {
	endpoints []*savorypinfleet.Endpoint
	gate      *gate
	gateway   *Gateway
	// sound is the number of requests after which endpoints respond instead of crashing; negative for
	// never.
	sound int32
	sent  atomic.Int32

	mu      sync.Mutex
	crashed map[string]bool
}

func newCrashingFleet(endpoints int, sound int32) *crashingFleet {
	f := &crashingFleet{crashed: map[string]bool{}, gate: newGate(), sound: sound}
	f.gateway = New(Config{
		Codec: savorypinfleet.Codec{
			DecodeReply:   func(*http.Response) savorypinfleet.Reply { return savorypinfleet.Reply{Signed: true} },
			EncodeAttempt: func(savorypinfleet.Attempt) http.Header { return http.Header{} },
			EncodeFailure: func(http.Header, *savorypinfleet.Call, time.Duration) {},
			EncodeReply:   func(http.Header, *http.Response, *savorypinfleet.Call) {},
		},
		Log:      savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)}),
		Settings: Settings{RetryRatio: 1, RetrySlack: 100, RetryWindow: time.Minute},
	})
	f.gateway.pool = savorypinpool.New(savorypinpool.Config{Dial: f.dial})
	for i := range endpoints {
		f.endpoints = append(f.endpoints, savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
			Address: f.listen(), ID: fmt.Sprint("e", i), Service: "ledger", State: savorypinfleet.EndpointReady,
		}))
	}
	f.gateway.view.directory.Store(savorypinfleet.NewDirectory(f.endpoints))
	return f
}

// dial connects to an endpoint.
func (f *crashingFleet) dial(ctx context.Context, address string) (net.Conn, error) {
	f.mu.Lock()
	crashed := f.crashed[address]
	f.mu.Unlock()
	if crashed {
		f.gate.pass()
		return nil, syscall.ECONNREFUSED
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// listen starts an endpoint and returns its address.
func (f *crashingFleet) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			f.serve(conn, l.Addr().String())
		}
	}()
	return l.Addr().String()
}

func (f *crashingFleet) serve(conn net.Conn, address string) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if n := f.sent.Add(1); f.sound >= 0 && n > f.sound {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashed[address] = true
}

// relay relays a request on a route and returns the status of the response.
func (f *crashingFleet) relay(route savorypinfleet.RouteConfig) int {
	route.Name = "sales"
	req := &request{
		arrived: time.Now(), bodies: bodyReader{budget: f.gateway.responseBudget, limit: maxResponseBodyBytes},
		call: &savorypinfleet.Call{ID: "q", Method: http.MethodGet, URI: "/"}, deadline: time.Now().Add(time.Minute),
		route: savorypinfleet.NewRoute(route), service: savorypinfleet.NewService(savorypinfleet.ServiceConfig{Name: "ledger"}),
		upload: bodyReader{budget: f.gateway.requestBudget},
	}
	w := httptest.NewRecorder()
	if route.Kind == savorypinfleet.RouteStreaming {
		f.gateway.relayStream(w, httptest.NewRequest(http.MethodGet, "/", nil), req)
	} else {
		f.gateway.relayPlain(w, httptest.NewRequest(http.MethodGet, "/", nil), req)
	}
	return w.Code
}

// recorded returns the number of endpoints whose crashes the gateway has recorded.
func (f *crashingFleet) recorded() int {
	n := 0
	for _, e := range f.endpoints {
		if f.gateway.quarantine.Crashed(e) {
			n++
		}
	}
	return n
}

var _ = Describe("A request that endpoints crash on", func() {
	// Guards against a caller that repeats the request at once and crashes another endpoint, since the
	// gateway doesn't know yet of the last crash.
	for _, c := range []struct {
		name      string
		endpoints int
		route     savorypinfleet.RouteConfig
		crashes   int
	}{
		{"that can't be repeated", 2, savorypinfleet.RouteConfig{Kind: savorypinfleet.RouteUnsafe}, 1},
		{"whose attempts are spent", 3, savorypinfleet.RouteConfig{Kind: savorypinfleet.RouteSafe, MaxAttempts: 2}, 2},
		{"with no other endpoint left", 1, savorypinfleet.RouteConfig{Kind: savorypinfleet.RouteSafe, MaxAttempts: 3}, 1},
		{"as a stream that can't be resumed", 2, savorypinfleet.RouteConfig{Kind: savorypinfleet.RouteStreaming}, 1},
		{"as a stream whose attempts are spent", 3, savorypinfleet.RouteConfig{Kind: savorypinfleet.RouteStreaming, MaxAttempts: 2, Resumable: true}, 2},
		{"with further attempts left", 3, savorypinfleet.RouteConfig{Kind: savorypinfleet.RouteSafe, MaxAttempts: 4}, 2},
	} {
		It(c.name+" is refused only when all crashes are recorded", func() {
			f := newCrashingFleet(c.endpoints, -1)
			var status int
			done := goRecovered(func() { status = f.relay(c.route) })
			Eventually(f.gate.entered, "10s").Should(Receive())
			Consistently(done, "50ms").ShouldNot(BeClosed())
			close(f.gate.opened)
			Eventually(done, "10s").Should(BeClosed())
			Expect(status).To(Equal(http.StatusBadGateway))
			Expect(f.sent.Load()).To(BeEquivalentTo(c.crashes))
			Expect(f.recorded()).To(Equal(c.crashes))
		})
	}

	// Guards against responses that wait for a crash that doesn't concern them any more.
	It("is served by another endpoint before the crash is recorded", func() {
		f := newCrashingFleet(2, 1)
		var status int
		done := goRecovered(func() { status = f.relay(savorypinfleet.RouteConfig{Kind: savorypinfleet.RouteSafe, MaxAttempts: 2}) })
		Eventually(done, "10s").Should(BeClosed())
		Expect(status).To(Equal(http.StatusOK))
		Expect(f.recorded()).To(BeZero())
		close(f.gate.opened)
		Eventually(f.recorded, "10s").Should(Equal(1))
	})
})

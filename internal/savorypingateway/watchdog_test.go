package savorypingateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/charmbracelet/log"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinforecast"
	"savorypin/internal/savorypinpool"
)

// longPause is longer than all limits on the silence of an endpoint.
const longPause = time.Hour

// silentStream is a stream whose endpoint has been silent for longPause, and the case that it is in.
type silentStream struct {
	// alone is set if there is no other endpoint, hostSilent if the endpoint's host accepts no connection.
	alone, hostSilent bool
	// attempt is the number of the attempt, beginning with 1, of maxAttempts.
	attempt int
	// backup is set if another endpoint holds a copy of the run's KV cache.
	backup bool
	// budget is the number of repeats that the retry budget allows.
	budget float64
	// events is the number of events before the pause.
	events int64
	// limited is set if the other endpoint takes no requests now.
	limited   bool
	resumable bool
	// reported is set if the engine's report has the request.
	reported bool
	// slowPrefill and slowEvents are set if the prompt or the rest takes longer than the time that is
	// left.
	slowPrefill, slowEvents bool
}

const (
	silentAttempts = 3
	silentTimeout  = time.Minute
)

// gateway returns a gateway and the endpoint of the stream.
func (c silentStream) gateway() (*Gateway, *savorypinfleet.Endpoint) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "report") })}
	DeferCleanup(server.Close)
	go func() { _ = server.Serve(l) }()
	g := New(Config{
		Codec: savorypinfleet.Codec{
			DecodeReply: func(*http.Response) savorypinfleet.Reply { return savorypinfleet.Reply{} },
			DecodeReport: func([]byte) (savorypinfleet.EngineReport, error) {
				if c.reported {
					return savorypinfleet.EngineReport{Running: []string{"q"}}, nil
				}
				return savorypinfleet.EngineReport{}, nil
			},
			ReportPath: "/report",
		},
		Log:      savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)}),
		Settings: Settings{RetrySlack: c.budget / retryBudgetRatio, RetryWindow: time.Hour},
	})
	if c.hostSilent {
		g.pool = savorypinpool.New(savorypinpool.Config{
			Dial: func(context.Context, string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded },
		})
	}
	endpoints := []*savorypinfleet.Endpoint{savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
		Address: l.Addr().String(), ID: "one", Service: "llm", State: savorypinfleet.EndpointReady,
	})}
	if !c.alone {
		endpoints = append(endpoints, savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{
			Address: "127.0.0.1:1", ID: "two", Service: "llm", State: savorypinfleet.EndpointReady,
		}))
	}
	g.view.directory.Store(savorypinfleet.NewDirectory(endpoints))
	if c.limited {
		g.endpointLimits.Name(endpoints[1].IncarnationHash(), "llm", 0)
	}
	return g, endpoints[0]
}

// request returns the request of the stream.
func (c silentStream) request(g *Gateway) *request {
	req := &request{
		call:     &savorypinfleet.Call{ID: "q", Method: http.MethodPost, OutputTokens: 100, PromptTokens: 8000, URI: "/"},
		deadline: time.Now().Add(silentTimeout),
		route: savorypinfleet.NewRoute(savorypinfleet.RouteConfig{
			Kind: savorypinfleet.RouteStreaming, MaxAttempts: silentAttempts, Name: "r", Resumable: c.resumable,
			TargetGap: time.Second, TargetLatency: longPause / 3,
		}),
		service: savorypinfleet.NewService(savorypinfleet.ServiceConfig{Backups: true, Name: "llm"}),
	}
	observed := savorypinforecast.CompletedStream{
		Duration: 2 * time.Millisecond, Events: 100, OutputTokens: 100, PromptTokens: 8000, TimeToFirstEvent: time.Millisecond,
	}
	if c.slowPrefill {
		observed.TimeToFirstEvent = 2 * silentTimeout
	}
	observed.Duration = observed.TimeToFirstEvent + time.Millisecond
	if c.slowEvents {
		observed.Duration += 2 * silentTimeout
	}
	g.forecast.Observe(req.kind(), observed)
	return req
}

// watch returns the watchdog of the stream's attempt, whose last event was longPause ago.
func (c silentStream) watch(ctx context.Context, g *Gateway, e *savorypinfleet.Endpoint) *watchdog {
	nc, peer := net.Pipe()
	DeferCleanup(peer.Close)
	pool := savorypinpool.New(savorypinpool.Config{Dial: func(context.Context, string) (net.Conn, error) { return nc, nil }})
	conn, err := pool.Open(ctx, "pipe", time.Second)
	Expect(err).NotTo(HaveOccurred())
	s := &stream{attempts: c.attempt - 1, gateway: g, req: c.request(g)}
	w := g.newWatchdog(ctx, s, e, conn, c.backup)
	for i := range c.events {
		w.recordEvent(i + 1)
	}
	w.timer.Stop()
	w.sentAt = time.Now().Add(-longPause)
	w.lastEventAt.Store(time.Now().Add(-longPause).UnixNano())
	return w
}

// abandons reports whether an attempt is abandoned at a check.
func abandons(w *watchdog) bool {
	w.check()
	w.stop()
	return w.stalled.Load() || w.unreachable.Load()
}

var _ = Describe("A stream whose endpoint is silent for longer than all limits", func() {
	// Guards against streams that are broken off although their endpoints, which have preempted the runs,
	// would have gone on, and nothing else could. A planned stop makes that count.
	for _, c := range []struct {
		name   string
		change func(*silentStream)
		want   bool
	}{
		{"moves to another endpoint", func(*silentStream) {}, true},
		{"moves if its host is silent, too", func(c *silentStream) { c.hostSilent = true }, true},
		{"stays if it can't be resumed", func(c *silentStream) { c.resumable = false }, false},
		{"stays if it can't be resumed, and its host is silent", func(c *silentStream) { c.resumable, c.hostSilent = false, true }, false},
		{"stays in its last attempt", func(c *silentStream) { c.attempt = silentAttempts }, false},
		{"stays in its last attempt, and its host is silent", func(c *silentStream) { c.attempt, c.hostSilent = silentAttempts, true }, false},
		{"stays if no other endpoint is left", func(c *silentStream) { c.alone = true }, false},
		{"stays if no other endpoint is left, and its host is silent", func(c *silentStream) { c.alone, c.hostSilent = true, true }, false},
		{"stays if the retry budget is spent", func(c *silentStream) { c.budget = 0 }, false},
		{"stays if the retry budget is spent, and its host is silent", func(c *silentStream) { c.budget, c.hostSilent = 0, true }, false},
		{"stays if the retry budget is spent, with a backup", func(c *silentStream) { c.budget, c.backup = 0, true }, false},
		{"stays if the other endpoints take nothing by their limits", func(c *silentStream) { c.limited = true }, false},
		{"stays if the rest would end too late elsewhere", func(c *silentStream) { c.slowEvents = true }, false},
		{"stays if its prompt would be read again for too long", func(c *silentStream) { c.slowPrefill = true }, false},
		{"moves if there is a backup, as its prompt isn't read again", func(c *silentStream) { c.slowPrefill, c.backup = true, true }, true},
		{"moves before the first event", func(c *silentStream) { c.events = 0 }, true},
		{"stays before the first event, if no other endpoint is left", func(c *silentStream) { c.events, c.alone, c.reported = 0, true, true }, false},
		{"stays before the first event, in its last attempt", func(c *silentStream) { c.events, c.attempt = 0, silentAttempts }, false},
		{"is sent again if the engine doesn't have it", func(c *silentStream) { c.events, c.alone = 0, true }, true},
	} {
		It(c.name, func() {
			s := silentStream{attempt: 1, budget: 10, events: 3, resumable: true}
			c.change(&s)
			g, e := s.gateway()
			Expect(abandons(s.watch(context.Background(), g, e))).To(Equal(c.want))
			Expect(g.counters.streamsKept.Count() == 0).To(Equal(c.want))
		})
	}

	// Guards against streams that are abandoned together, of which the retry budget lets one go on.
	It("moves only as far as the retry budget has room", func() {
		s := silentStream{attempt: 1, budget: 1, events: 3, resumable: true}
		g, e := s.gateway()
		moved := 0
		for range 3 {
			w := s.watch(context.Background(), g, e)
			if abandons(w) {
				moved++
				Expect(w.repeatTaken.Load()).To(BeTrue(), fmt.Sprint("stream ", moved))
			}
		}
		Expect(moved).To(Equal(1))
	})
})

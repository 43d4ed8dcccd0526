package savorypingateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinseal"
)

const (
	endpointKind savorypin.Kind = "endpoints"
	// shortDrain keeps the specs fast; the timeouts are fractions of it.
	shortDrain = 400 * time.Millisecond
)

// versionOnlyDialect returns a dialect in which lists and watches consist of a version alone.
func versionOnlyDialect() savorypinplatform.Dialect {
	version := func(r io.Reader) (int64, error) {
		var v int64
		_, err := fmt.Fscan(r, &v)
		return v, err
	}
	return savorypinplatform.Dialect{
		DecodeList: func(_ savorypin.Kind, data []byte) (savorypinplatform.Page, error) {
			v, err := version(strings.NewReader(string(data)))
			return savorypinplatform.Page{Version: v}, err
		},
		ListPath:   func(kind savorypin.Kind, _ string) string { return "/" + string(kind) },
		ObjectPath: func(key savorypin.Key) string { return "/" + key.String() },
		ReadWatch: func(kind savorypin.Kind, r io.Reader, handle func(savorypin.Object) error) error {
			v, err := version(r)
			if err != nil {
				return err
			}
			return handle(savorypin.Object{Key: savorypin.Key{Kind: kind}, Version: v})
		},
		WatchPath: func(kind savorypin.Kind, at int64, d time.Duration) string {
			return fmt.Sprintf("/%s?watch=%d&hold=%d", kind, at, d.Milliseconds())
		},
	}
}

// newTestStore returns a store that sends its calls to an HTTP server with the handler h.
func newTestStore(h http.HandlerFunc) *store {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	cfg := Config{
		Clock:    bootClock,
		Dialect:  versionOnlyDialect(),
		Log:      savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)}),
		Objects:  Objects{Configuration: savorypin.Key{Kind: "config"}, EndpointKind: endpointKind, RolloutKind: "rollouts"},
		Settings: Settings{DrainDelay: shortDrain, Store: server.URL},
	}
	v := &view{}
	v.directory.Store(savorypinfleet.NewDirectory(nil))
	s := newStore(cfg, v, newCounters(metrics.NewRegistry()))
	s.sealer = savorypinseal.New()
	s.endpointsChanged = func(_, _ *savorypinfleet.Directory, _ int64) {}
	s.notifyPeers = func() {}
	return s
}

var _ = Describe("A gateway whose copy of the endpoints has reached its maximum age", func() {
	It("finishes all attempts to read the store within the drain delay", func() {
		const drain = 2500 * time.Millisecond
		ratio := drainMaxAgeRatio * (1 + maxAgeJitterRatio + catchUpFirstRatio + catchUpSecondRatio)
		Expect(time.Duration(ratio*float64(drain)) + ageCheckInterval).To(BeNumerically("<", drain))
	})

	It("reads changes without waiting, and retries on another connection if the first one stalls", func() {
		var calls, longPolls atomic.Int64
		s := newTestStore(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 2 {
				<-r.Context().Done()
				return
			}
			if r.URL.Query().Has("hold") && r.URL.Query().Get("hold") != "1" {
				longPolls.Add(1)
			}
			fmt.Fprint(w, calls.Load())
		})
		Expect(s.list(context.Background(), endpointKind)).To(Succeed())
		before := s.mirrors[endpointKind].State()
		Expect(s.catchUp(context.Background(), endpointKind, shortDrain)).To(Succeed())
		after := s.mirrors[endpointKind].State()
		Expect(calls.Load()).To(Equal(int64(3)))
		Expect(longPolls.Load()).To(BeZero())
		Expect(after.Version).To(Equal(int64(3)))
		Expect(after.ConfirmedAt).To(BeNumerically(">", before.ConfirmedAt))
	})

	// Guards against a copy that counts as confirmed while the gateway was suspended, although the
	// response had come before that.
	It("doesn't take a watch as later than its timeout", func() {
		const hold = 200 * time.Millisecond
		var now atomic.Int64
		now.Store(int64(time.Minute))
		var listed atomic.Bool
		s := newTestStore(func(w http.ResponseWriter, _ *http.Request) {
			if listed.Swap(true) {
				now.Add(int64(time.Hour))
			}
			fmt.Fprint(w, 1)
		})
		s.cfg.Clock = func() time.Duration { return time.Duration(now.Load()) }
		Expect(s.list(context.Background(), endpointKind)).To(Succeed())
		Expect(s.watchOnce(context.Background(), endpointKind, hold)).To(Succeed())
		Expect(s.mirrors[endpointKind].State().ConfirmedAt).To(Equal(time.Minute + watchTimeout(hold, s.maxAges[endpointKind])))
	})

	It("gives up after two attempts if the store is unavailable", func() {
		var calls atomic.Int64
		s := newTestStore(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		Expect(s.catchUp(context.Background(), endpointKind, shortDrain)).To(MatchError(savorypinplatform.ErrUnavailable))
		Expect(calls.Load()).To(Equal(int64(2)))
	})
})

var _ = Describe("A starting gateway that fetches the list of endpoints from another one", func() {
	// copyMessage returns a message with the age of another gateway's copy, as the answer to a
	// message that this gateway has just sent.
	copyMessage := func(age time.Duration) savorypingossip.Message {
		return savorypingossip.Message{
			Copies: []savorypingossip.CopyStatus{{Age: savorypingossip.Age(age), Kind: endpointKind}},
			Echo:   savorypingossip.Echo{Sent: bootClock(), Started: 1},
		}
	}
	for _, c := range []struct {
		name         string
		age          time.Duration
		storeFailing bool
		want         bool
	}{
		{"serves requests once its copy is confirmed as fresh", shortDrain / 10, false, true},
		{"serves no requests if the other gateway's copy is too old", shortDrain, false, false},
		{"serves requests from an old copy if the store is failing", shortDrain, true, true},
	} {
		It(c.name, func() {
			s := newTestStore(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
			s.putInForce(endpointKind)
			Expect(s.view.listed.Load()).To(BeFalse())
			if c.storeFailing {
				s.breaker.RecordFailure(bootClock(), 1)
			}
			s.handleCopies(copyMessage(c.age))
			Expect(s.view.listed.Load()).To(Equal(c.want))
		})
	}
})

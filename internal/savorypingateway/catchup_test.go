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
)

const (
	endpointKind savorypin.Kind = "endpoints"
	// shortDrain keeps the specs short; the bounds are parts of it.
	shortDrain = 400 * time.Millisecond
)

// lineDialect spells a list and a watch as a version alone.
func lineDialect() savorypinplatform.Dialect {
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

// storeBefore returns the copies of a gateway of a store that some handler plays.
func storeBefore(h http.HandlerFunc) *store {
	server := httptest.NewServer(h)
	DeferCleanup(server.Close)
	cfg := Config{
		Dialect:  lineDialect(),
		Log:      savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)}),
		Objects:  Objects{Configuration: savorypin.Key{Kind: "config"}, EndpointKind: endpointKind, RolloutKind: "rollouts"},
		Settings: Settings{DrainDelay: shortDrain, Store: server.URL},
	}
	v := &view{}
	v.directory.Store(savorypinfleet.NewDirectory(nil))
	s := newStore(cfg, v, newCounters(metrics.NewRegistry()))
	s.changed = func(_, _ *savorypinfleet.Directory, _ int64) {}
	s.news = func() {}
	return s
}

var _ = Describe("A gateway that has heard no news of endpoints until its limit", func() {
	It("asks the store in time for what the drain delay leaves, all tries included", func() {
		const drain = 2500 * time.Millisecond
		parts := drainLimitPart * (1 + limitSpread + catchUpFirst + catchUpSecond)
		Expect(time.Duration(parts*float64(drain)) + lookInterval).To(BeNumerically("<", drain))
	})

	It("gets what has changed at once, on another connection if the first is silent", func() {
		var calls, held atomic.Int64
		s := storeBefore(func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 2 {
				<-r.Context().Done()
				return
			}
			if r.URL.Query().Has("hold") && r.URL.Query().Get("hold") != "1" {
				held.Add(1)
			}
			fmt.Fprint(w, calls.Load())
		})
		Expect(s.list(context.Background(), endpointKind)).To(Succeed())
		before := s.mirrors[endpointKind].State()
		Expect(s.catchUp(context.Background(), endpointKind, shortDrain)).To(Succeed())
		after := s.mirrors[endpointKind].State()
		Expect(calls.Load()).To(Equal(int64(3)))
		Expect(held.Load()).To(BeZero())
		Expect(after.At).To(Equal(int64(3)))
		Expect(after.Confirmed).To(BeNumerically(">", before.Confirmed))
	})

	It("gives up after its tries where the store is out", func() {
		var calls atomic.Int64
		s := storeBefore(func(w http.ResponseWriter, _ *http.Request) {
			calls.Add(1)
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		Expect(s.catchUp(context.Background(), endpointKind, shortDrain)).To(MatchError(savorypinplatform.ErrUnavailable))
		Expect(calls.Load()).To(Equal(int64(2)))
	})
})

var _ = Describe("A gateway that starts and fetches the list from another one", func() {
	// told is what another gateway tells of its copy, in answer to a message that this
	// one sent a moment ago.
	told := func(age time.Duration) savorypingossip.Message {
		return savorypingossip.Message{
			Copies: []savorypingossip.Copy{{Age: savorypingossip.Age(age), Kind: endpointKind}},
			Echo:   savorypingossip.Echo{Sent: bootClock(), Started: 1},
		}
	}
	for _, c := range []struct {
		name   string
		age    time.Duration
		failed bool
		want   bool
	}{
		{"serves by it once it is confirmed as fresh", shortDrain / 10, false, true},
		{"does not serve by it if that one has heard no news for too long", shortDrain, false, false},
		{"serves by an old one if the store is out", shortDrain, true, true},
	} {
		It(c.name, func() {
			s := storeBefore(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
			s.publishEndpoints()
			Expect(s.view.listed.Load()).To(BeFalse())
			if c.failed {
				s.gate.Failed(bootClock(), 1)
			}
			s.heard(told(c.age))
			Expect(s.view.listed.Load()).To(Equal(c.want))
		})
	}
})

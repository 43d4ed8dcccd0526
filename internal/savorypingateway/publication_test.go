package savorypingateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypingossip"
	"savorypin/internal/savorypinmirror"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().String()
}

// fetchFromPeer makes a store fetch an object from another gateway, which has just confirmed it.
func fetchFromPeer(s *store, o savorypin.Object) {
	mirror := savorypinmirror.New()
	mirror.Replace([]savorypin.Object{o}, o.Version, 0)
	mirror.Confirm(s.cfg.Clock(), 0)
	peer := &savorypingossip.SyncServer{
		Address: freeAddress(), Clock: s.cfg.Clock, Log: s.log, Sealer: s.sealer,
		Mirrors: map[savorypin.Kind]*savorypinmirror.Mirror{o.Kind: mirror},
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		defer GinkgoRecover()
		Expect(peer.Run(ctx)).To(MatchError(context.Canceled))
	}()
	Eventually(func() error {
		conn, err := net.Dial("tcp", peer.Address)
		if err == nil {
			conn.Close()
		}
		return err
	}, "10s").Should(Succeed())
	s.fetchChanges(peer.Address, o.Kind)
}

// confirmByPeer makes a store process a message of another gateway that has just confirmed the same
// copy of a kind.
func confirmByPeer(s *store, kind savorypin.Kind) {
	state := s.mirrors[kind].State()
	s.handleCopies(savorypingossip.Message{
		Copies: []savorypingossip.CopyStatus{{Kind: kind, At: state.Version, Changed: state.LastChangeVersion, Floor: state.CompactedVersion}},
		Echo:   savorypingossip.Echo{Sent: s.cfg.Clock(), Started: 1},
	})
}

// goRecovered runs f and returns a channel that is closed when it has returned.
func goRecovered(f func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer GinkgoRecover()
		defer close(done)
		f()
	}()
	return done
}

// gate blocks decoders until it is opened.
type gate struct {
	// entered gets a value when a decoder arrives.
	entered chan struct{}
	opened  chan struct{}
}

func newGate() *gate { return &gate{entered: make(chan struct{}, 1), opened: make(chan struct{})} }

func (g *gate) pass() {
	select {
	case g.entered <- struct{}{}:
	default:
	}
	<-g.opened
}

var _ = Describe("A copy that is confirmed while it is put in force", func() {
	unavailable := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }

	// Guards against a starting gateway that is ready and refuses all requests for want of endpoints,
	// and against endpoints that count as listed later than they were.
	It("counts as a list of endpoints only when the list is in force", func() {
		s, g := newTestStore(unavailable), newGate()
		s.cfg.Objects.DecodeEndpoint = func(o savorypin.Object) (*savorypinfleet.Endpoint, error) {
			g.pass()
			return savorypinfleet.NewEndpoint(savorypinfleet.EndpointConfig{ID: o.Name, State: savorypinfleet.EndpointReady}), nil
		}
		done := goRecovered(func() {
			fetchFromPeer(s, savorypin.Object{Key: savorypin.Key{Kind: endpointKind, Name: "e"}, Version: 3})
		})
		Eventually(g.entered, "10s").Should(Receive())
		confirmByPeer(s, endpointKind)
		Expect(s.age(endpointKind)).To(BeNumerically("<", time.Minute))
		Expect(s.view.listed.Load()).To(BeFalse())
		Expect(s.publications[endpointKind].confirmedAt.Load()).To(BeZero())
		close(g.opened)
		Eventually(done, "10s").Should(BeClosed())
		Expect(s.view.listed.Load()).To(BeTrue())
		Expect(s.view.directory.Load().Len()).To(Equal(1))
		Expect(s.ageInForce(endpointKind)).To(BeNumerically("<", time.Minute))
	})

	// Guards against rollouts of an older copy that replace those of a newer one, and so hide that a
	// version was rejected.
	It("is not replaced by an older one", func() {
		s, g := newTestStore(unavailable), newGate()
		s.cfg.Objects.DecodeRollout = func(o savorypin.Object) (savorypinfleet.Rollout, error) {
			if o.Version == 1 {
				g.pass()
			}
			return savorypinfleet.Rollout{Revision: o.Version}, nil
		}
		var mu sync.Mutex
		var inForce []int64
		newer := make(chan struct{})
		s.updateRollouts = func(rollouts []savorypinfleet.Rollout, _ int64) {
			mu.Lock()
			defer mu.Unlock()
			inForce = append(inForce, rollouts[0].Revision)
			if rollouts[0].Revision > 1 {
				close(newer)
			}
		}
		put := func(version int64) func() {
			return func() {
				s.apply(savorypin.Object{Key: savorypin.Key{Kind: "rollouts", Name: "ledger"}, Version: version})
			}
		}
		first := goRecovered(put(1))
		Eventually(g.entered, "10s").Should(Receive())
		second := goRecovered(put(2))
		Eventually(func() int64 { return s.mirrors["rollouts"].State().LastChangeVersion }, "10s").
			Should(Equal(int64(2)))
		// Without an order among copies the newer one would be in force by now.
		Consistently(newer, "50ms").ShouldNot(BeClosed())
		close(g.opened)
		Eventually(first, "10s").Should(BeClosed())
		Eventually(second, "10s").Should(BeClosed())
		Expect(inForce).To(Equal([]int64{1, 2}))
	})
})

package savorypingateway

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinplatform"
)

const (
	configurationKind savorypin.Kind = "config"
	revocationDelay                  = 5 * time.Second
	revokedKey                       = "revoked"
)

// errTestConfiguration is the error of decoding an invalid configuration.
var errTestConfiguration = errors.New("invalid configuration")

// testConfiguration is the spec of a configuration with one public and one other route.
type testConfiguration struct {
	Invalid bool
	Keys    []string
	Version int64
}

func (c testConfiguration) object() savorypin.Object {
	spec, err := json.Marshal(c)
	Expect(err).NotTo(HaveOccurred())
	return savorypin.Object{Key: savorypin.Key{Kind: configurationKind, Name: "main"}, Spec: spec, Version: c.Version}
}

func (c testConfiguration) listing() savorypinplatform.Listing {
	return savorypinplatform.Listing{Objects: []savorypin.Object{c.object()}, Version: c.Version}
}

// revocation is a gateway with an injected clock whose first configuration has a key that later
// ones lack.
type revocation struct {
	// decoded is the number of configurations that were decoded.
	decoded atomic.Int32
	// gate blocks the decoding of later configurations.
	gate    *gate
	gateway *Gateway
	now     atomic.Int64
	// onClock is called once, when the clock is read next.
	onClock atomic.Pointer[func()]
}

func newRevocation() *revocation {
	r := &revocation{gate: newGate()}
	r.now.Store(int64(time.Minute))
	r.gateway = New(Config{
		Clock: r.clock,
		Log:   savorypinevent.New(savorypinevent.Config{Logger: log.New(io.Discard)}),
		Objects: Objects{
			Configuration: savorypin.Key{Kind: configurationKind, Name: "main"}, DecodeConfiguration: r.decode,
			EndpointKind: endpointKind, RolloutKind: "rollouts",
		},
		Settings: Settings{DrainDelay: shortDrain, RevocationDelay: revocationDelay, StrictRevocation: true},
	})
	r.gateway.view.listed.Store(true)
	r.list(testConfiguration{Keys: []string{revokedKey}, Version: 1})
	return r
}

func (r *revocation) clock() time.Duration {
	if f := r.onClock.Swap(nil); f != nil {
		(*f)()
	}
	return time.Duration(r.now.Load())
}

func (r *revocation) decode(o savorypin.Object) (*savorypinfleet.Configuration, error) {
	r.decoded.Add(1)
	var c testConfiguration
	if err := json.Unmarshal(o.Spec, &c); err != nil {
		return nil, err
	}
	if c.Version > 1 {
		r.gate.pass()
	}
	if c.Invalid {
		return nil, errTestConfiguration
	}
	return savorypinfleet.NewConfiguration(savorypinfleet.ConfigurationSpec{
		Organisations: []savorypinfleet.Organisation{{Keys: c.Keys, Name: "shops"}},
		Routes: []*savorypinfleet.Route{savorypinfleet.NewRoute(savorypinfleet.RouteConfig{
			Kind: savorypinfleet.RouteSafe, Name: "sales", Prefix: "/", Shares: []savorypinfleet.Share{{Service: "ledger", Weight: 1}},
		})},
		Version: c.Version,
	}), nil
}

// list applies a configuration that was read from the store at the current time.
func (r *revocation) list(c testConfiguration) {
	r.gateway.store.applyList(c.listing(), configurationKind, time.Duration(r.now.Load()))
}

// listAgain reads the configuration without the key from the store until its copy is confirmed.
func (r *revocation) listAgain() {
	r.now.Add(int64(time.Millisecond))
	goRecovered(func() { r.list(testConfiguration{Version: 2}) })
	Eventually(func() time.Duration { return r.gateway.store.mirrors[configurationKind].State().ConfirmedAt }, "10s").
		Should(Equal(time.Duration(r.now.Load())))
}

// fetch gets a configuration from another gateway, which has just confirmed it.
func (r *revocation) fetch(c testConfiguration) {
	fetchFromPeer(r.gateway.store, c.object())
}

// hearConfirmation processes a confirmation of another gateway.
func (r *revocation) hearConfirmation() { confirmByPeer(r.gateway.store, configurationKind) }

// status returns the status with which a request with the revoked key is refused, or 200 if it is
// admitted.
func (r *revocation) status() int {
	req, refused := r.gateway.admit(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/sale", nil),
		&savorypinfleet.Call{APIKey: revokedKey, Method: http.MethodGet, URI: "/sale"})
	if refused != nil {
		return refused.status
	}
	Expect(req).NotTo(BeNil())
	return http.StatusOK
}

var _ = Describe("A gateway without a confirmation of its configuration for the revocation delay", func() {
	revoked := testConfiguration{Version: 2}
	// Guards against a revoked key that is served again while the configuration without it is
	// decoded, since the copy already counts as confirmed.
	for _, c := range []struct {
		name string
		get  func(*revocation)
		// meanwhile happens while the configuration is decoded.
		meanwhile func(*revocation)
	}{
		{"reads the next one from the store", func(r *revocation) { r.list(revoked) }, func(*revocation) {}},
		{"fetches the next one from another gateway", func(r *revocation) { r.fetch(revoked) }, func(*revocation) {}},
		{"hears a confirmation of the next one", func(r *revocation) { r.list(revoked) }, (*revocation).hearConfirmation},
		{"reads the next one again", func(r *revocation) { r.list(revoked) }, (*revocation).listAgain},
	} {
		It("refuses its keys as not run until the next one is in force if it "+c.name, func() {
			r := newRevocation()
			Expect(r.status()).To(Equal(http.StatusOK))
			r.now.Add(int64(revocationDelay))
			Expect(r.status()).To(Equal(http.StatusServiceUnavailable))
			done := goRecovered(func() { c.get(r) })
			Eventually(r.gate.entered, "10s").Should(Receive())
			c.meanwhile(r)
			Expect(r.status()).To(Equal(http.StatusServiceUnavailable))
			close(r.gate.opened)
			Eventually(done, "10s").Should(BeClosed())
			Expect(r.status()).To(Equal(http.StatusUnauthorized))
		})
	}

	// Guards against a request that is judged by one configuration and by the age of a later one.
	It("refuses a request that has taken this configuration before the next one is in force", func() {
		r := newRevocation()
		close(r.gate.opened)
		r.now.Add(int64(revocationDelay))
		next := func() { r.list(revoked) }
		r.onClock.Store(&next)
		Expect(r.status()).To(Equal(http.StatusServiceUnavailable))
		Expect(r.status()).To(Equal(http.StatusUnauthorized))
	})

	// Guards against gossip that waits while a long configuration is decoded under the copy's lock, and
	// against a small host that decodes it several times.
	It("decodes the next one once", func() {
		r := newRevocation()
		close(r.gate.opened)
		before := r.decoded.Load()
		r.list(revoked)
		Expect(r.decoded.Load() - before).To(Equal(int32(1)))
		Expect(r.status()).To(Equal(http.StatusUnauthorized))
	})

	It("keeps it for other gateways if the store was restored from a copy that lacks it", func() {
		r := newRevocation()
		close(r.gate.opened)
		r.list(revoked)
		restored := testConfiguration{Keys: []string{revokedKey}, Version: 1}.listing()
		restored.Era = 1
		r.gateway.store.applyList(restored, configurationKind, time.Duration(r.now.Load()))
		objects, state := r.gateway.store.mirrors[configurationKind].Snapshot()
		Expect(state.Era).To(Equal(int64(1)))
		Expect(objects).To(HaveLen(1))
		Expect(objects[0].Spec).To(MatchJSON(revoked.object().Spec))
		Expect(r.status()).To(Equal(http.StatusUnauthorized))
	})

	// Guards against a configuration that can't be decoded and makes all gateways refuse all keys.
	It("serves its keys again if the store has one that can't be decoded", func() {
		r := newRevocation()
		close(r.gate.opened)
		r.now.Add(int64(revocationDelay))
		r.list(testConfiguration{Invalid: true, Version: 2})
		Expect(r.status()).To(Equal(http.StatusOK))
	})

	It("serves its keys again once the store or another gateway confirms it", func() {
		for _, confirm := range []func(*revocation){
			func(r *revocation) { r.list(testConfiguration{Keys: []string{revokedKey}, Version: 1}) },
			(*revocation).hearConfirmation,
		} {
			r := newRevocation()
			r.now.Add(int64(revocationDelay))
			Expect(r.status()).To(Equal(http.StatusServiceUnavailable))
			confirm(r)
			Expect(r.status()).To(Equal(http.StatusOK))
		}
	})
})

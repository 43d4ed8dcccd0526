package savorypingateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinbreaker"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinmirror"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinseal"
)

// Parameters of calls to the store.
const (
	// storeTimeout limits a call; a slow store takes a few hundred milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// storeConnectTimeout limits a connection attempt: a few round trips between regions.
	storeConnectTimeout = 500 * time.Millisecond
	// maxStoreResponseBytes and maxStoreHeaderBytes limit the body and the header of a response.
	maxStoreResponseBytes = 8 << 20
	maxStoreHeaderBytes   = 64 << 10
	// watchHoldRatio is the fraction of a copy's maximum age for which the store may hold a
	// watch open: a connection that has stalled is detected after it.
	watchHoldRatio = 0.5
	// watchPause is the time between two watches, so that changes are read in batches.
	watchPause = 400 * time.Millisecond
	// maxRolloutAge is the maximum age of the copy of the rollouts: versions that no rollout
	// names get no requests anyway.
	maxRolloutAge = 6 * time.Second
	// maxAgeJitterRatio is the fraction of a maximum age over which the calls of the gateways
	// that are not readers are spread.
	maxAgeJitterRatio = 0.1
	// catchUpFirstRatio and catchUpSecondRatio are the fractions of the maximum age that the
	// first and the second attempt may take when a gateway whose copy has reached that age
	// reads the store. The second attempt uses another connection and allows for a slow store.
	catchUpFirstRatio  = 0.2
	catchUpSecondRatio = 0.4
	// immediateHold is the hold time of a watch that should return at once.
	immediateHold = time.Millisecond
	// ageCheckInterval is the interval at which a gateway checks whether its copies are so old
	// that it has to read the store.
	ageCheckInterval = 100 * time.Millisecond
)

// Fractions of the delays within which changes must be in force.
const (
	// confirmationsPerDelay is the number of times that a reader confirms the configuration
	// within the revocation delay, for which a confirmation is valid.
	confirmationsPerDelay = 5
	// maxConfirmInterval limits the confirmation interval. A strict revocation delay may require
	// a shorter one.
	maxConfirmInterval = 2 * time.Second
	// revocationMaxAgeRatio and configMaxAgeRatio are the fractions of the revocation and the
	// configuration delay after which a gateway without a confirmation reads the store itself.
	revocationMaxAgeRatio = 0.4
	configMaxAgeRatio     = 0.7
	// drainMaxAgeRatio is the fraction of the drain delay after which a gateway without a
	// confirmation reads the endpoints itself. The rest covers the jitter and all attempts.
	drainMaxAgeRatio = 0.55
	// askPeerAgeRatio is the fraction of a maximum age after which another gateway is asked
	// for the age of its copies. The rest allows for a second request.
	askPeerAgeRatio = 0.5
)

// store keeps copies of the objects in the platform's store. A few gateways, the readers, read
// the store; the others get the changes from them, and read the store themselves only if their
// copies have not been confirmed for too long.
type store struct {
	cfg    Config
	client *savorypinplatform.Client
	// closeIdle closes the idle connections to the store.
	closeIdle func()
	log       *savorypinevent.Log
	mirrors   map[savorypin.Kind]*savorypinmirror.Mirror
	// publications put changed copies in force, by kind.
	publications map[savorypin.Kind]*publication
	// isReader reports whether this gateway reads the store for all gateways.
	isReader func() bool
	// sealer authenticates transfers between gateways.
	sealer *savorypinseal.Sealer
	view   *view
	// awaitFirstList waits until this gateway has a list of endpoints or has to list them
	// itself.
	awaitFirstList func(context.Context) error
	// configurationChanged is called after a configuration has been put in force.
	configurationChanged func()
	// endpointsChanged is called with each new list of endpoints and its era.
	endpointsChanged func(old, next *savorypinfleet.Directory, era int64)
	// updateRollouts is called with each new list of rollouts and its era.
	updateRollouts func(rollouts []savorypinfleet.Rollout, era int64)
	// notifyPeers is called when a copy has changed, to announce it to other gateways.
	notifyPeers func()

	// breaker limits the calls to a failing store.
	breaker *savorypinbreaker.Breaker
	// maxAges are the ages at which a gateway that is not a reader reads the store itself, by
	// kind.
	maxAges map[savorypin.Kind]time.Duration
	// gatewayCount returns the number of gateways.
	gatewayCount func() int

	// listed is set once the copy of the endpoints was read from the store or confirmed by another
	// gateway.
	listed atomic.Bool

	mu sync.Mutex
	// fetching is true for the kinds of which a transfer from another gateway is in progress.
	fetching map[savorypin.Kind]bool
	// inForce is the object that holds the configuration in force.
	inForce      savorypin.Object
	laterVersion peerVersion
	// unreachable is true if the last call to the store failed.
	unreachable bool
}

func newStore(cfg Config, v *view, c counters) *store {
	dialer := &net.Dialer{Timeout: storeConnectTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    4,
		MaxResponseHeaderBytes: maxStoreHeaderBytes,
	}
	s := &store{
		cfg:       cfg,
		closeIdle: transport.CloseIdleConnections,
		client: savorypinplatform.NewClient(savorypinplatform.Config{
			OnCall:     func(string) { c.storeCalls.Inc(1) },
			Dialect:    cfg.Dialect,
			OnNewEra:   func(era int64) { cfg.Log.Emit(savorypinevent.EraBegan{Era: era}) },
			HTTPClient: &http.Client{Transport: transport},
			// Lists are read in pages of one megabyte.
			MaxResponseBytes: maxStoreResponseBytes,
			Timeout:          storeTimeout,
			URL:              cfg.Settings.Store,
		}),
		configurationChanged: func() {},

		fetching: map[savorypin.Kind]bool{},
		breaker:  savorypinbreaker.New(),
		maxAges:  maxAgesByKind(cfg),
		log:      cfg.Log,
		mirrors:  map[savorypin.Kind]*savorypinmirror.Mirror{},
		view:     v,
	}
	s.publications = map[savorypin.Kind]*publication{
		cfg.Objects.Configuration.Kind: newPublication(s.publishConfiguration),
		cfg.Objects.EndpointKind:       newPublication(s.publishEndpoints),
		cfg.Objects.RolloutKind:        newPublication(s.publishRollouts),
	}
	for kind := range s.publications {
		s.mirrors[kind] = savorypinmirror.New()
	}
	return s
}

// maxAgesByKind returns the maximum age of the copy of each kind.
func maxAgesByKind(cfg Config) map[savorypin.Kind]time.Duration {
	settings := cfg.Settings
	config := time.Duration(configMaxAgeRatio * float64(settings.ConfigDelay))
	if settings.StrictRevocation {
		config = min(config, time.Duration(revocationMaxAgeRatio*float64(settings.RevocationDelay)))
	}
	return map[savorypin.Kind]time.Duration{
		cfg.Objects.Configuration.Kind: config,
		cfg.Objects.EndpointKind:       time.Duration(drainMaxAgeRatio * float64(settings.DrainDelay)),
		cfg.Objects.RolloutKind:        maxRolloutAge,
	}
}

// needsConfirmation reports whether a copy is so old that another gateway has to be asked soon,
// before this one has to read the store itself. If early is set, the threshold is halved, as for
// the gateways that others ask.
func (s *store) needsConfirmation(early bool) bool {
	ratio := askPeerAgeRatio
	if early {
		ratio /= 2
	}
	for kind, maxAge := range s.maxAges {
		if s.age(kind) >= time.Duration(ratio*float64(maxAge)) {
			return true
		}
	}
	return false
}

// age returns the time since a copy was confirmed. It is the host's uptime if it never was.
func (s *store) age(kind savorypin.Kind) time.Duration {
	return s.cfg.Clock() - s.mirrors[kind].State().ConfirmedAt
}

// ageInForce returns the time since the copy in force was confirmed, which may be an older one than
// the copy: decoding takes a while.
func (s *store) ageInForce(kind savorypin.Kind) time.Duration {
	return s.cfg.Clock() - time.Duration(s.publications[kind].confirmedAt.Load())
}

// lastConfirmed returns the boot-clock time at which the store last answered this gateway or,
// as far as this one knows, another one.
func (s *store) lastConfirmed() time.Duration {
	var last time.Duration
	for _, mirror := range s.mirrors {
		last = max(last, mirror.State().ConfirmedAt)
	}
	return last
}

// recordCall records the result of a call to the store, and logs when the store becomes
// unreachable and reachable again.
func (s *store) recordCall(ctx context.Context, err error) {
	if ctx.Err() != nil {
		// The call was cancelled by this gateway, so that its error says nothing about the store.
		return
	}
	if err == nil {
		s.breaker.RecordSuccess()
	} else {
		s.breaker.RecordFailure(s.cfg.Clock(), s.gatewayCount())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err != nil) == s.unreachable {
		return
	}
	s.unreachable = err != nil
	s.log.Emit(savorypinevent.Dependency{Err: err, Lost: s.unreachable, Name: "store"})
}

// put replaces an object of the gateways' own, or creates it.
func (s *store) put(ctx context.Context, o savorypin.Object) error {
	_, err := s.client.Update(ctx, o)
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		_, err = s.client.Create(ctx, o)
	}
	return err
}

// wait returns nil after d, or the error of ctx if that is done earlier.
func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

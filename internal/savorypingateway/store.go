package savorypingateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinmirror"
	"savorypin/internal/savorypinoutage"
	"savorypin/internal/savorypinplatform"
	"savorypin/internal/savorypinseal"
)

// Settings of the calls to the store.
const (
	// storeTimeout bounds a call; a slow store takes some hundred milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// storeConnectTimeout bounds a connection attempt: a few round trips between
	// regions.
	storeConnectTimeout = 500 * time.Millisecond
	// storeAnswerBytes and storeHeadBytes bound the body and head of an answer.
	storeAnswerBytes = 8 << 20
	storeHeadBytes   = 64 << 10
	// watchPart is the part of the time for which news may be late for which the
	// store may hold a watch: a connection that has gone silent is noticed after it.
	watchPart = 0.5
	// watchPause is the time between two watches, in which changes add up.
	watchPause = 400 * time.Millisecond
	// rolloutLimit is how late news of roll-outs may be: versions that no roll-out
	// names get nothing anyway.
	rolloutLimit = 6 * time.Second
	// limitSpread is the part of a limit over which the calls of those that do not
	// read are spread.
	limitSpread = 0.1
	// catchUpFirst and catchUpSecond are the parts of the limit that the two tries may
	// take by which a gateway asks the store that has waited for news until its limit.
	// The second one is on another connection, and long enough for a slow store.
	catchUpFirst  = 0.2
	catchUpSecond = 0.4
	// atOnce is how long the store may hold a watch whose answer is wanted at once.
	atOnce = time.Millisecond
	// lookInterval is how often a gateway that does not read looks whether it has
	// to.
	lookInterval = 100 * time.Millisecond
)

// Parts of the bounds within which changes must be in force.
const (
	// confirmParts is how often a reader confirms the configuration within the
	// time for which a confirmation is good.
	confirmParts = 5
	// maxConfirmInterval bounds the interval where keys are not strict.
	maxConfirmInterval = 2 * time.Second
	// confirmLimitPart and configLimitPart are the parts of the revocation and
	// configuration delays after which a gateway without news reads by itself.
	confirmLimitPart = 0.4
	configLimitPart  = 0.7
	// drainLimitPart is the part of the drain delay after which a gateway without
	// news reads the endpoints by itself. The rest suffices for the spread of the
	// limit and for all tries.
	drainLimitPart = 0.55
	// askLimitPart is the part of a limit after which another gateway is asked how
	// fresh its copies are. The rest suffices for a second question.
	askLimitPart = 0.5
)

// store keeps copies of the objects in the platform's store. Few gateways read
// it; the others get the changes from them, and read by themselves only if they
// hear nothing for too long.
type store struct {
	cfg    Config
	client *savorypinplatform.Client
	// closeIdle closes the connections that wait for the next call.
	closeIdle func()
	log       *savorypinevent.Log
	mirrors   map[savorypin.Kind]*savorypinmirror.Mirror
	// publish are the functions that put a changed copy in force.
	publish map[savorypin.Kind]func()
	// reader reports whether this gateway reads for all.
	reader func() bool
	// sealer authenticates transfers of changes.
	sealer *savorypinseal.Sealer
	view   *view
	// awaitFirstList returns when this gateway is to list the endpoints by itself, or
	// has the list.
	awaitFirstList func(context.Context) error
	// changed is called with each new list of endpoints and its era.
	changed func(old, next *savorypinfleet.Directory, era int64)
	// rollouts is called with each new list of roll-outs and its era.
	rollouts func(rollouts []savorypinfleet.Rollout, era int64)
	// news is called when a copy has changed, so that others hear of it.
	news func()

	// gate bounds the calls while the store fails.
	gate *savorypinoutage.Gate
	// limits are the ages of the copies at which a gateway that does not read for
	// all reads by itself.
	limits map[savorypin.Kind]time.Duration
	// gateways returns the number of gateways.
	gateways func() int

	mu       sync.Mutex
	fetching map[savorypin.Kind]bool
	// inForce is the object of the configuration in force.
	inForce savorypin.Object
	later   heardVersion
	lost    bool
}

func newStore(cfg Config, v *view, c counters) *store {
	dialer := &net.Dialer{Timeout: storeConnectTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    4,
		MaxResponseHeaderBytes: storeHeadBytes,
	}
	s := &store{
		cfg:       cfg,
		closeIdle: transport.CloseIdleConnections,
		client: savorypinplatform.NewClient(savorypinplatform.Config{
			Count:      func(string) { c.storeCalls.Inc(1) },
			Dialect:    cfg.Dialect,
			EraBegan:   func(era int64) { cfg.Log.Emit(savorypinevent.EraBegan{Era: era}) },
			HTTPClient: &http.Client{Transport: transport},
			// A list has pages of a megabyte.
			MaxAnswerBytes: storeAnswerBytes,
			Timeout:        storeTimeout,
			URL:            cfg.Settings.Store,
		}),
		fetching: map[savorypin.Kind]bool{},
		gate:     savorypinoutage.New(),
		limits:   limitsOf(cfg),
		log:      cfg.Log,
		mirrors:  map[savorypin.Kind]*savorypinmirror.Mirror{},
		view:     v,
	}
	s.publish = map[savorypin.Kind]func(){
		cfg.Objects.Configuration.Kind: s.publishConfiguration,
		cfg.Objects.EndpointKind:       s.publishEndpoints,
		cfg.Objects.RolloutKind:        s.publishRollouts,
	}
	for kind := range s.publish {
		s.mirrors[kind] = savorypinmirror.New()
	}
	v.confirmed = func() time.Duration {
		return s.mirrors[cfg.Objects.Configuration.Kind].State().Confirmed
	}
	return s
}

// limitsOf returns the limits of the kinds.
func limitsOf(cfg Config) map[savorypin.Kind]time.Duration {
	b := cfg.Settings
	config := time.Duration(configLimitPart * float64(b.ConfigDelay))
	if b.StrictKeys {
		config = min(config, time.Duration(confirmLimitPart*float64(b.RevocationDelay)))
	}
	return map[savorypin.Kind]time.Duration{
		cfg.Objects.Configuration.Kind: config,
		cfg.Objects.EndpointKind:       time.Duration(drainLimitPart * float64(b.DrainDelay)),
		cfg.Objects.RolloutKind:        rolloutLimit,
	}
}

// doubtful reports whether a copy is so old that another gateway has to be asked
// soon, lest this one reads by itself. Sooner is for those that others ask.
func (s *store) doubtful(sooner bool) bool {
	part := askLimitPart
	if sooner {
		part /= 2
	}
	for kind, limit := range s.limits {
		if s.age(kind) >= time.Duration(part*float64(limit)) {
			return true
		}
	}
	return false
}

// age is how long ago a copy was confirmed. One that never was is very old.
func (s *store) age(kind savorypin.Kind) time.Duration {
	return bootClock() - s.mirrors[kind].State().Confirmed
}

// confirmed is when the store last answered this gateway or, as far as it knows,
// another one.
func (s *store) confirmed() time.Duration {
	var last time.Duration
	for _, mirror := range s.mirrors {
		last = max(last, mirror.State().Confirmed)
	}
	return last
}

// noteStore takes note of how a call ended, and logs when the store is lost and
// regained.
func (s *store) noteStore(ctx context.Context, err error) {
	if ctx.Err() != nil {
		// The call was given up here.
		return
	}
	if err == nil {
		s.gate.Succeeded()
	} else {
		s.gate.Failed(bootClock(), s.gateways())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if (err != nil) == s.lost {
		return
	}
	s.lost = err != nil
	s.log.Emit(savorypinevent.Dependency{Err: err, Lost: s.lost, Name: "store"})
}

// wait returns after d, or with an error when ctx ends.
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

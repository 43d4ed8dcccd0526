package savorypingateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinplatform"
)

// Settings of the calls to the store.
const (
	// confirmParts is how often the configuration is confirmed within the time
	// for which a confirmation is good.
	confirmParts = 5
	// maxConfirmInterval bounds the interval where keys are not strict.
	maxConfirmInterval = 2 * time.Second
	// storeTimeout bounds a call; a slow store takes some hundred milliseconds.
	storeTimeout = 1500 * time.Millisecond
	// storeConnectTimeout bounds a connection attempt: a few round trips between
	// regions.
	storeConnectTimeout = 500 * time.Millisecond
	// watchTime is how long the store may hold a watch: a connection that has
	// gone silent is noticed after it.
	watchTime = 3 * time.Second
	// watchPause is the time between two watches, in which changes add up.
	watchPause = 200 * time.Millisecond
	// storePause is the time after a failed call.
	storePause = 300 * time.Millisecond
)

// store follows the objects in the platform's store.
type store struct {
	cfg      Config
	client   *savorypinplatform.Client
	counters counters
	log      *log.Logger
	view     *view
	// changed is called with each new list of endpoints.
	changed func(old, next *savorypinfleet.Directory)
	// endpoints are the entries as read, by ID. Only the follower uses them.
	endpoints map[string]*savorypinfleet.Endpoint
	rollouts  map[string]savorypinfleet.Rollout
}

func newStore(cfg Config, v *view, c counters) *store {
	dialer := &net.Dialer{Timeout: storeConnectTimeout}
	transport := &http.Transport{
		DialContext:           dialer.DialContext,
		DisableCompression:    true,
		MaxIdleConnsPerHost:   4,
		ResponseHeaderTimeout: watchTime + storeTimeout,
	}
	return &store{
		cfg: cfg,
		client: savorypinplatform.NewClient(savorypinplatform.Config{
			Count:        func(string) { c.storeCalls.Inc(1) },
			Dialect:      cfg.Dialect,
			HTTPClient:   &http.Client{Transport: transport},
			Timeout:      storeTimeout,
			URL:          cfg.Settings.Store,
			WatchTimeout: watchTime,
		}),
		counters:  c,
		endpoints: map[string]*savorypinfleet.Endpoint{},
		log:       cfg.Logger,
		rollouts:  map[string]savorypinfleet.Rollout{},
		view:      v,
	}
}

// follow starts the followers.
func (s *store) follow(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { return s.followConfiguration(ctx) })
	group.Go(func() error {
		return s.followKind(ctx, s.cfg.Objects.EndpointKind, s.listEndpoints, s.applyEndpoint, s.publishEndpoints)
	})
	group.Go(func() error {
		return s.followKind(ctx, s.cfg.Objects.RolloutKind, s.listRollouts, s.applyRollout, s.publishRollouts)
	})
}

// followConfiguration reads the configuration again and again, since a watch
// that waits confirms nothing.
func (s *store) followConfiguration(ctx context.Context) error {
	interval := maxConfirmInterval
	if s.cfg.Settings.StrictKeys {
		interval = min(interval, s.cfg.Settings.RevocationDelay/confirmParts)
	}
	interval = min(interval, s.cfg.Settings.ConfigDelay/2)
	failed := false
	for {
		pause := interval
		err := s.readConfiguration(ctx)
		if err != nil {
			pause = storePause
		}
		if (err != nil) != failed {
			failed = err != nil
			s.logDependency(failed, err)
		}
		if err := wait(ctx, pause); err != nil {
			return err
		}
	}
}

func (s *store) logDependency(lost bool, err error) {
	if lost {
		s.log.Warn("store lost", "err", err)
		return
	}
	s.log.Info("store regained")
}

func (s *store) readConfiguration(ctx context.Context) error {
	sent := bootClock()
	o, err := s.client.Get(ctx, s.cfg.Objects.Configuration)
	if err != nil {
		return err
	}
	c, err := s.cfg.Objects.DecodeConfiguration(o)
	if err != nil {
		return err
	}
	if s.view.adopt(c) {
		s.log.Info("configuration in force", "version", c.Version(), "revision", o.Version)
	}
	s.view.confirm(sent)
	return nil
}

// followKind lists a kind and watches it, and lists it anew when the store has
// dropped the history that the watch needs.
func (s *store) followKind(
	ctx context.Context,
	kind savorypin.Kind,
	list func([]savorypin.Object),
	apply func(savorypin.Object),
	publish func(),
) error {
	for ctx.Err() == nil {
		objects, version, err := s.client.List(ctx, kind)
		if err != nil {
			s.log.Debug("list failed", "kind", kind, "err", err)
			if err := wait(ctx, storePause); err != nil {
				return err
			}
			continue
		}
		list(objects)
		publish()
		if err := s.watchKind(ctx, kind, version, apply, publish); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// watchKind watches until the history is lost. It returns an error when ctx
// ends.
func (s *store) watchKind(
	ctx context.Context,
	kind savorypin.Kind,
	version int64,
	apply func(savorypin.Object),
	publish func(),
) error {
	for {
		pause := watchPause
		seen := false
		err := s.client.Watch(ctx, kind, version, func(o savorypin.Object) error {
			version = max(version, o.Version)
			if o.Name != "" {
				seen = true
				apply(o)
			}
			return nil
		})
		if seen {
			publish()
		}
		if errors.Is(err, savorypinplatform.ErrExpired) {
			s.log.Info("history lost, listing again", "kind", kind, "version", version)
			return nil
		}
		if err != nil {
			s.log.Debug("watch failed", "kind", kind, "err", err)
			pause = storePause
		}
		if err := wait(ctx, pause); err != nil {
			return err
		}
	}
}

func (s *store) listEndpoints(objects []savorypin.Object) {
	s.endpoints = map[string]*savorypinfleet.Endpoint{}
	for _, o := range objects {
		s.applyEndpoint(o)
	}
}

func (s *store) applyEndpoint(o savorypin.Object) {
	delete(s.endpoints, o.Name)
	if o.Deleted {
		return
	}
	e, err := s.cfg.Objects.DecodeEndpoint(o)
	if err != nil {
		s.log.Debug("endpoint ignored", "err", err)
		return
	}
	s.endpoints[o.Name] = e
}

func (s *store) publishEndpoints() {
	list := make([]*savorypinfleet.Endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		list = append(list, e)
	}
	old := s.view.directory.Load()
	next := savorypinfleet.NewDirectory(list)
	s.view.directory.Store(next)
	s.view.listed.Store(true)
	s.changed(old, next)
}

func (s *store) listRollouts(objects []savorypin.Object) {
	s.rollouts = map[string]savorypinfleet.Rollout{}
	for _, o := range objects {
		s.applyRollout(o)
	}
}

func (s *store) applyRollout(o savorypin.Object) {
	if o.Deleted {
		// The object bears the name of its service.
		delete(s.rollouts, o.Name)
		return
	}
	r, err := s.cfg.Objects.DecodeRollout(o)
	if err != nil {
		s.log.Warn("rollout ignored", "err", err)
		return
	}
	s.rollouts[r.Service] = r
	s.log.Info("rollout seen", "service", r.Service, "version", r.Version, "state", r.State, "revision", r.Revision)
}

func (s *store) publishRollouts() {
	set := &rolloutSet{byService: map[string]savorypinfleet.Rollout{}}
	for service, r := range s.rollouts {
		set.byService[service] = r
	}
	s.view.rollouts.Store(set)
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

package savorypingateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinplatform"
)

// follow starts the goroutines that keep the copies current.
func (s *store) follow(ctx context.Context, group *errgroup.Group) {
	settings := s.cfg.Settings
	interval := min(maxConfirmInterval, settings.ConfigDelay/2)
	if settings.StrictRevocation {
		interval = min(interval, settings.RevocationDelay/confirmationsPerDelay)
	}
	for kind, maxAge := range s.maxAges {
		if kind == s.cfg.Objects.Configuration.Kind {
			group.Go(func() error { return s.followConfiguration(ctx, interval, maxAge) })
			continue
		}
		group.Go(func() error {
			if kind == s.cfg.Objects.EndpointKind {
				if err := s.awaitFirstList(ctx); err != nil {
					return err
				}
			}
			return s.followKind(ctx, kind, maxAge)
		})
	}
}

// waitUntilDue waits until this gateway has to read a kind and may call the store. A reader has
// to once its copy is older than interval, other gateways once theirs is older than maxAge,
// which is longer.
func (s *store) waitUntilDue(ctx context.Context, kind savorypin.Kind, interval, maxAge time.Duration) error {
	// Without jitter all gateways that are not readers would call at the same moment, although
	// one response is enough for all of them.
	maxAge += time.Duration(rand.Float64() * maxAgeJitterRatio * float64(maxAge))
	for {
		if age := s.age(kind); age >= interval {
			reader := s.isReader()
			if (reader || age >= maxAge) && s.breaker.Allow(s.cfg.Clock(), s.lastConfirmed(), reader) {
				return ctx.Err()
			}
		}
		if err := wait(ctx, ageCheckInterval); err != nil {
			return err
		}
	}
}

// followConfiguration polls the configuration, since a pending watch confirms nothing.
func (s *store) followConfiguration(ctx context.Context, interval, maxAge time.Duration) error {
	for {
		if err := s.waitUntilDue(ctx, s.cfg.Objects.Configuration.Kind, interval, maxAge); err != nil {
			return err
		}
		s.recordCall(ctx, s.log.CallRecovered("read configuration", func() error { return s.readConfiguration(ctx) }))
	}
}

func (s *store) readConfiguration(ctx context.Context) error {
	sentAt := s.cfg.Clock()
	o, err := s.client.Get(ctx, s.cfg.Objects.Configuration)
	if err != nil {
		return err
	}
	// The kind has a single object.
	s.applyList(savorypinplatform.Listing{Era: o.Era, Objects: []savorypin.Object{o}, Version: o.Version}, o.Kind, sentAt)
	return nil
}

// apply applies a changed object to its copy and puts it in force.
func (s *store) apply(o savorypin.Object) {
	if s.mirrors[o.Kind].Apply(o) {
		s.putInForce(o.Kind)
		s.notifyPeers()
	}
}

// followKind lists a kind and then watches it. It lists the kind again if the store has dropped
// the history that the watch needs.
func (s *store) followKind(ctx context.Context, kind savorypin.Kind, maxAge time.Duration) error {
	for {
		if err := s.waitUntilDue(ctx, kind, 0, maxAge); err != nil {
			return err
		}
		err := s.log.CallRecovered("read "+string(kind), func() error {
			switch {
			case s.mirrors[kind].State().Version == 0:
				// The first list may be long; only the client's timeouts apply.
				return s.list(ctx, kind)
			case s.isReader() && !s.breaker.Failing():
				return s.watchChanges(ctx, kind, maxAge)
			default:
				return s.catchUp(ctx, kind, maxAge)
			}
		})
		s.recordCall(ctx, err)
		if err != nil {
			s.log.Debug("reading objects from the store failed", "kind", kind, "err", err)
		}
		if err := wait(ctx, watchPause); err != nil {
			return err
		}
	}
}

// catchUp reads the pending changes of a kind without waiting for new ones. If no response
// comes, it tries again on another connection, since the first one may have stalled.
func (s *store) catchUp(ctx context.Context, kind savorypin.Kind, maxAge time.Duration) error {
	err := s.readWithin(ctx, kind, immediateHold, time.Duration(catchUpFirstRatio*float64(maxAge)))
	if err == nil || ctx.Err() != nil {
		return err
	}
	s.closeIdle()
	return s.readWithin(ctx, kind, immediateHold, time.Duration(catchUpSecondRatio*float64(maxAge)))
}

// watchChanges waits for changes of a kind for a fraction of the maximum age of its copy.
func (s *store) watchChanges(ctx context.Context, kind savorypin.Kind, maxAge time.Duration) error {
	hold := time.Duration(watchHoldRatio * float64(maxAge))
	return s.readWithin(ctx, kind, hold, watchTimeout(hold, maxAge))
}

// watchTimeout returns the timeout of a watch with a hold time.
func watchTimeout(hold, maxAge time.Duration) time.Duration {
	return hold + time.Duration(catchUpSecondRatio*float64(maxAge))
}

// readWithin calls readChanges with a timeout.
func (s *store) readWithin(ctx context.Context, kind savorypin.Kind, hold, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return s.readChanges(ctx, kind, hold)
}

// readChanges waits up to hold for changes of a kind. It lists the kind if there is no copy yet
// or the store has no history back to the copy's version.
func (s *store) readChanges(ctx context.Context, kind savorypin.Kind, hold time.Duration) error {
	at := s.mirrors[kind].State().Version
	if at == 0 {
		return s.list(ctx, kind)
	}
	err := s.watchOnce(ctx, kind, hold)
	if !errors.Is(err, savorypinplatform.ErrExpired) {
		return err
	}
	s.log.Emit(savorypinevent.HistoryLost{ObjectKind: string(kind), Version: at})
	return s.list(ctx, kind)
}

func (s *store) list(ctx context.Context, kind savorypin.Kind) error {
	sentAt := s.cfg.Clock()
	listing, err := s.client.ListAll(ctx, kind)
	if err != nil {
		return err
	}
	s.applyList(listing, kind, sentAt)
	return nil
}

// applyList replaces the copy of a kind by a list that was requested at sentAt on the boot
// clock, and puts it in force.
func (s *store) applyList(listing savorypinplatform.Listing, kind savorypin.Kind, sentAt time.Duration) {
	mirror := s.mirrors[kind]
	changed := mirror.Replace(listing.Objects, listing.Version, listing.Era)
	mirror.Confirm(sentAt, listing.Era)
	s.markListed(kind)
	s.putInForce(kind)
	if changed {
		s.notifyPeers()
	}
}

// watchOnce waits up to hold for changes after the copy's version.
func (s *store) watchOnce(ctx context.Context, kind savorypin.Kind, hold time.Duration) error {
	mirror := s.mirrors[kind]
	state, sentAt := mirror.State(), s.cfg.Clock()
	changed := false
	err := s.client.WatchFor(ctx, kind, state.Version, hold, func(o savorypin.Object) error {
		if o.Era != state.Era {
			// The store was restored from an older copy. Versions of different eras are not
			// comparable, so the kind has to be listed again.
			return savorypinplatform.ErrExpired
		}
		if o.Name == "" { // a bookmark, which carries only a version
			mirror.Advance(o.Version, o.Era)
			return nil
		}
		changed = mirror.Apply(o) || changed
		return nil
	})
	if changed {
		s.putInForce(kind)
		s.notifyPeers()
	}
	if err == nil {
		confirmedAt := sentAt
		if hold > immediateHold {
			// The store ends its response when the hold time ends or with the last change, so
			// that the copy was complete at that time. Only a gateway that was suspended reads it
			// after the timeout, when the response may be much older.
			confirmedAt = min(s.cfg.Clock(), sentAt+watchTimeout(hold, s.maxAges[kind]))
		}
		mirror.Confirm(confirmedAt, state.Era)
		s.markListed(kind)
		s.confirmInForce(kind)
	}
	return err
}

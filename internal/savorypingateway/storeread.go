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

// follow starts the followers.
func (s *store) follow(ctx context.Context, group *errgroup.Group) {
	b := s.cfg.Settings
	interval := min(maxConfirmInterval, b.ConfigDelay/2)
	if b.StrictKeys {
		interval = min(interval, b.RevocationDelay/confirmParts)
	}
	for kind, limit := range s.limits {
		if kind == s.cfg.Objects.Configuration.Kind {
			group.Go(func() error { return s.followConfiguration(ctx, interval, limit) })
			continue
		}
		group.Go(func() error {
			if kind == s.cfg.Objects.EndpointKind {
				if err := s.awaitFirstList(ctx); err != nil {
					return err
				}
			}
			return s.followKind(ctx, kind, limit)
		})
	}
}

// due waits until this gateway has to read a kind, as a reader when the copy is
// older than interval, else when it is older than limit, which is longer, and may
// call the store.
func (s *store) due(ctx context.Context, kind savorypin.Kind, interval, limit time.Duration) error {
	// Those that do not read would all call at the same moment; one answer
	// suffices for all.
	limit += time.Duration(rand.Float64() * limitSpread * float64(limit))
	for {
		if age := s.age(kind); age >= interval {
			reader := s.reader()
			if (reader || age >= limit) && s.gate.Enter(bootClock(), s.confirmed(), reader) {
				return ctx.Err()
			}
		}
		if err := wait(ctx, lookInterval); err != nil {
			return err
		}
	}
}

// followConfiguration reads the configuration again and again, since a watch
// that waits confirms nothing.
func (s *store) followConfiguration(ctx context.Context, interval, limit time.Duration) error {
	for {
		if err := s.due(ctx, s.cfg.Objects.Configuration.Kind, interval, limit); err != nil {
			return err
		}
		s.noteStore(ctx, s.log.Do("read configuration", func() error { return s.readConfiguration(ctx) }))
	}
}

func (s *store) readConfiguration(ctx context.Context) error {
	sent := bootClock()
	o, err := s.client.Get(ctx, s.cfg.Objects.Configuration)
	if err != nil {
		return err
	}
	// There is one object of the kind.
	s.takeList(savorypinplatform.Listing{Era: o.Era, Objects: []savorypin.Object{o}, Version: o.Version}, o.Kind, sent)
	return nil
}

// apply takes over an object and puts it in force.
func (s *store) apply(o savorypin.Object) {
	if s.mirrors[o.Kind].Apply(o) {
		s.publish[o.Kind]()
		s.news()
	}
}

// followKind lists a kind and watches it, and lists it anew when the store has
// dropped the history that the watch needs.
func (s *store) followKind(ctx context.Context, kind savorypin.Kind, limit time.Duration) error {
	for {
		if err := s.due(ctx, kind, 0, limit); err != nil {
			return err
		}
		err := s.log.Do("read "+string(kind), func() error {
			switch {
			case s.mirrors[kind].State().At == 0:
				// The first list may be long; the client bounds it.
				return s.list(ctx, kind)
			case s.reader() && !s.gate.Failing():
				return s.await(ctx, kind, limit)
			default:
				return s.catchUp(ctx, kind, limit)
			}
		})
		s.noteStore(ctx, err)
		if err != nil {
			s.log.Debug("kind not read", "kind", kind, "err", err)
		}
		if err := wait(ctx, watchPause); err != nil {
			return err
		}
	}
}

// catchUp reads the changes of a kind at once. An answer that does not come is asked
// for again on another connection, since the first one may have gone silent.
func (s *store) catchUp(ctx context.Context, kind savorypin.Kind, limit time.Duration) error {
	err := s.readWithin(ctx, kind, atOnce, time.Duration(catchUpFirst*float64(limit)))
	if err == nil || ctx.Err() != nil {
		return err
	}
	s.closeIdle()
	return s.readWithin(ctx, kind, atOnce, time.Duration(catchUpSecond*float64(limit)))
}

// await waits for changes of a kind for a part of its limit.
func (s *store) await(ctx context.Context, kind savorypin.Kind, limit time.Duration) error {
	hold := time.Duration(watchPart * float64(limit))
	return s.readWithin(ctx, kind, hold, hold+time.Duration(catchUpSecond*float64(limit)))
}

// readWithin is read with a bound on its time.
func (s *store) readWithin(ctx context.Context, kind savorypin.Kind, hold, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	return s.read(ctx, kind, hold)
}

// read waits for changes of a kind for as long as hold, or lists it if the changes
// since the last read are not to be had.
func (s *store) read(ctx context.Context, kind savorypin.Kind, hold time.Duration) error {
	at := s.mirrors[kind].State().At
	if at == 0 {
		return s.list(ctx, kind)
	}
	err := s.watchOnce(ctx, kind, hold)
	if !errors.Is(err, savorypinplatform.ErrExpired) {
		return err
	}
	s.log.Emit(savorypinevent.HistoryLost{Of: string(kind), Version: at})
	return s.list(ctx, kind)
}

func (s *store) list(ctx context.Context, kind savorypin.Kind) error {
	sent := bootClock()
	listing, err := s.client.ListAll(ctx, kind)
	if err != nil {
		return err
	}
	s.takeList(listing, kind, sent)
	return nil
}

// takeList takes over a list that was asked for at a time, and puts it in force.
func (s *store) takeList(listing savorypinplatform.Listing, kind savorypin.Kind, sent time.Duration) {
	mirror := s.mirrors[kind]
	first := mirror.State().Confirmed == 0
	changed := mirror.Replace(listing.Objects, listing.Version, listing.Era)
	mirror.Confirm(sent, listing.Era)
	if changed || first {
		s.publish[kind]()
	}
	s.noteListed(kind)
	if changed {
		s.news()
	}
}

// watchOnce waits for changes after those that are known.
func (s *store) watchOnce(ctx context.Context, kind savorypin.Kind, hold time.Duration) error {
	mirror := s.mirrors[kind]
	state, sent := mirror.State(), bootClock()
	changed := false
	err := s.client.WatchFor(ctx, kind, state.At, hold, func(o savorypin.Object) error {
		if o.Era != state.Era {
			// The store has come back from a copy, in which the version means another one.
			return savorypinplatform.ErrExpired
		}
		if o.Name == "" {
			mirror.Advance(o.Version, o.Era)
			return nil
		}
		changed = mirror.Apply(o) || changed
		return nil
	})
	if changed {
		s.publish[kind]()
		s.news()
	}
	if err == nil {
		if hold > atOnce {
			// The store has answered at the end of the time, or with the last change.
			sent = bootClock()
		}
		mirror.Confirm(sent, state.Era)
		s.noteListed(kind)
	}
	return err
}

package savorypindaemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinmembership"
)

// Bounds of asking members what they have in force.
const (
	// askAfter is how long digests may take to show that a change is in force
	// before members are asked.
	askAfter = 5 * time.Second
	// askLimit is the number of members asked at once.
	askLimit = 16
	// askMost is the number of members asked in all; the others count as
	// lagging until the next time.
	askMost = 64
)

// Force says where an object is in force.
type Force struct {
	// InForce is the number of members that have the version or a newer one.
	InForce int
	// Lagging are the members that answer but have an older version.
	Lagging []string
	// Members is the number of members that have not left.
	Members int
	// Unreachable are the members that do not answer.
	Unreachable []string
}

// InForce tells which members have an object in force at a version or a newer
// one. A member with the same digest as this daemon has the same objects; any
// other one is asked for the object itself, since the newest version that it
// holds says nothing about the rest. While a change is young, members whose
// digest differs count as lagging without being asked.
func (d *Daemon) InForce(ctx context.Context, key savorypin.Key, version int64) Force {
	var mu sync.Mutex
	var force Force
	var group errgroup.Group
	group.SetLimit(askLimit)
	asked := 0
	mine := d.Config()
	held := mine.Holds(key, version)
	ask := time.Since(d.distributor.ChangedAt()) > askAfter
	note := func(name string, inForce, reached bool) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case inForce:
			force.InForce++
		case reached:
			force.Lagging = append(force.Lagging, name)
		default:
			force.Unreachable = append(force.Unreachable, name)
		}
	}
	for _, m := range d.Members().All() {
		state := m.State()
		if m.Left() {
			continue
		}
		force.Members++
		live := m.Health() == savorypinmembership.HealthLive
		switch {
		case state.Name == d.cfg.Settings.Name:
			note(state.Name, held, true)
		case m.Health() == savorypinmembership.HealthDead:
			note(state.Name, false, false)
		case held && live && state.Applied == mine.Digest():
			note(state.Name, true, true)
		case held && live && !ask, asked == askMost:
			note(state.Name, false, true)
		default:
			asked++
			group.Go(func() error {
				inForce, reached := d.askVersion(ctx, state.Address, key, version)
				note(state.Name, inForce, reached)
				return nil
			})
		}
	}
	_ = group.Wait()
	slices.Sort(force.Lagging)
	slices.Sort(force.Unreachable)
	return force
}

func (d *Daemon) askVersion(ctx context.Context, address string, key savorypin.Key, version int64) (inForce, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	answer, err := savorypinmember.Call[savorypinmember.VersionQuery, savorypinmember.VersionAnswer](
		ctx, d.transport, address, savorypinmember.FrameVersion, savorypinmember.VersionQuery{Key: key})
	return err == nil && answer.Version >= version, err == nil
}

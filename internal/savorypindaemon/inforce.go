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

// Limits on queries of members for the version that they have in force.
const (
	// queryDelay is how long after a change live members are only compared by their
	// digests, provided this daemon has the object in force. After that, members whose
	// digest differs are queried.
	queryDelay = 5 * time.Second
	// queryConcurrency is the maximum number of concurrent queries.
	queryConcurrency = 16
	// maxQueries is the maximum number of members that one InForce call queries;
	// further ones count as lagging until the next call.
	maxQueries = 64
)

// InForceStatus is the number of members that have an object in force, and those that do not.
type InForceStatus struct {
	// InForce is the number of members that have the version or a newer one in force.
	InForce int
	// Lagging are the members that are reachable but have an older version or have not
	// been queried.
	Lagging []string
	// Members is the number of members that have not left.
	Members int
	// Unreachable are the members that are dead or do not answer.
	Unreachable []string
}

// InForce returns which members have an object in force at a version or a newer one. If
// this daemon has it in force, so does a live member with the same digest. Any other
// member that is not dead is queried for the object itself, since its newest version
// says nothing about the other objects. Until queryDelay after a change, if this daemon
// has the object in force, live members whose digest differs count as lagging without a
// query.
func (d *Daemon) InForce(ctx context.Context, key savorypin.Key, version int64) InForceStatus {
	var mu sync.Mutex
	var status InForceStatus
	var group errgroup.Group
	group.SetLimit(queryConcurrency)
	queries := 0
	config := d.Config()
	inForceHere := config.HasVersion(key, version)
	mayQuery := time.Since(d.distributor.ChangedAt()) > queryDelay
	record := func(name string, inForce, reached bool) {
		mu.Lock()
		defer mu.Unlock()
		switch {
		case inForce:
			status.InForce++
		case reached:
			status.Lagging = append(status.Lagging, name)
		default:
			status.Unreachable = append(status.Unreachable, name)
		}
	}
	for _, m := range d.Members().All() {
		state := m.State()
		if m.Left() {
			continue
		}
		status.Members++
		live := m.Health() == savorypinmembership.HealthLive
		switch {
		case state.Name == d.cfg.Settings.Name:
			record(state.Name, inForceHere, true)
		case m.Health() == savorypinmembership.HealthDead:
			record(state.Name, false, false)
		case inForceHere && live && state.Applied == config.Digest():
			record(state.Name, true, true)
		case inForceHere && live && !mayQuery, queries == maxQueries:
			record(state.Name, false, true)
		default:
			queries++
			group.Go(func() error {
				inForce, reached := d.queryVersion(ctx, state.Address, key, version)
				record(state.Name, inForce, reached)
				return nil
			})
		}
	}
	_ = group.Wait()
	slices.Sort(status.Lagging)
	slices.Sort(status.Unreachable)
	return status
}

func (d *Daemon) queryVersion(ctx context.Context, address string, key savorypin.Key, version int64) (inForce, reached bool) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	answer, err := savorypinmember.Call[savorypinmember.VersionQuery, savorypinmember.VersionAnswer](
		ctx, d.transport, address, savorypinmember.FrameVersion, savorypinmember.VersionQuery{Key: key})
	return err == nil && answer.Version >= version, err == nil
}

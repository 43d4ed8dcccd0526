package savorypinentry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
	"savorypin/internal/savorypinmember"
)

// lastSegmentTimeout bounds the query of another entry for the last segment of a shard
// that it has tried to write. The entry answers from memory, so this covers a few round
// trips between regions.
const lastSegmentTimeout = time.Second

// errOtherWriter means that another entry may have written segments of the shard, and
// with them claims of its keys.
var errOtherWriter = errors.New("another entry may have written the shard")

// checkSoleWriter returns an error unless all other entries confirm that they have not
// tried to write segment next of the shard or a later one, and that they have been
// running for at least within: an entry does not know what it tried before it was
// restarted. An entry that does not answer may have tried. Entries that left longer
// ago than within are not asked.
func (e *Entry) checkSoleWriter(ctx context.Context, shard int, next uint64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, lastSegmentTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range e.daemon.Members().All() {
		state := m.State()
		leftLongAgo := m.Left() && time.Since(m.LastSeen()) > within
		if state.Role != savorypin.RoleEntry || state.Name == e.cfg.Settings.Name || leftLongAgo {
			continue
		}
		group.Go(func() error {
			answer, err := savorypinmember.Call[savorypinmember.LastSegmentQuery, savorypinmember.LastSegmentAnswer](
				ctx, e.daemon.Transport(), state.Address, savorypinmember.FrameLastSegment, savorypinmember.LastSegmentQuery{Shard: shard})
			if err != nil {
				return fmt.Errorf("%w: %s: %w", errOtherWriter, state.Name, err)
			}
			if answer.LastTried >= next || answer.Uptime < within {
				return fmt.Errorf("%w: %s", errOtherWriter, state.Name)
			}
			return nil
		})
	}
	return group.Wait()
}

func (e *Entry) handleLastSegment(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.LastSegmentQuery,
) (savorypinmember.LastSegmentAnswer, error) {
	if req.Shard < 0 || req.Shard >= savorypinclaim.Shards {
		return savorypinmember.LastSegmentAnswer{}, savorypin.Errorf(savorypin.KindInvalid, e.cfg.Settings.Name, "no shard %d", req.Shard)
	}
	return savorypinmember.LastSegmentAnswer{LastTried: e.shards.LastTriedSegment(req.Shard), Uptime: time.Since(e.started)}, nil
}

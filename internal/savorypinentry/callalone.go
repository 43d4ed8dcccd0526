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

// headTimeout bounds the answer of another entry, which looks into its memory: a
// few round trips between regions.
const headTimeout = time.Second

// errAhead means that another entry may have claimed keys by itself.
var errAhead = errors.New("another entry may have written the shard")

// aloneAt returns an error unless all other entries say that they have not tried
// to write a segment of a shard from next on within a time. An entry that does
// not answer may have.
func (e *Entry) aloneAt(ctx context.Context, shard int, next uint64, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, m := range e.daemon.Members().All() {
		state := m.State()
		left := m.Left() && time.Since(m.Heard()) > within
		if state.Role != savorypin.RoleEntry || state.Name == e.cfg.Settings.Name || left {
			continue
		}
		group.Go(func() error {
			head, err := savorypinmember.Call[savorypinmember.Head, savorypinmember.HeadAnswer](
				ctx, e.daemon.Transport(), state.Address, savorypinmember.FrameHead, savorypinmember.Head{Shard: shard})
			if err != nil {
				return fmt.Errorf("%w: %s: %w", errAhead, state.Name, err)
			}
			if head.Tried >= next || head.Up < within {
				return fmt.Errorf("%w: %s", errAhead, state.Name)
			}
			return nil
		})
	}
	return group.Wait()
}

func (e *Entry) handleHead(
	_ context.Context,
	_ savorypinmember.Hello,
	req savorypinmember.Head,
) (savorypinmember.HeadAnswer, error) {
	if req.Shard < 0 || req.Shard >= savorypinclaim.Shards {
		return savorypinmember.HeadAnswer{}, savorypin.Errorf(savorypin.KindInvalid, e.cfg.Settings.Name, "no shard %d", req.Shard)
	}
	return savorypinmember.HeadAnswer{Tried: e.shards.Tried(req.Shard), Up: time.Since(e.started)}, nil
}

package savorypinclaim_test

import (
	"context"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
)

// book is the naive twin of shards: one platform object for each key, written
// once for the claim and once for the outcome.
type book struct {
	store savorypinclaim.Store
}

func (b book) claim(ctx context.Context, c savorypinclaim.Claim) (int64, bool) {
	written, err := b.store.Create(ctx, savorypin.Object{Key: bookKey(c.Key), Order: c.Attempt.ID})
	return written.Version, err == nil
}

func (b book) settle(ctx context.Context, key savorypinclaim.KeyID, version int64) error {
	_, err := b.store.Update(ctx, savorypin.Object{Key: bookKey(key), Version: version})
	return err
}

func bookKey(key savorypinclaim.KeyID) savorypin.Key {
	return savorypin.Key{Kind: savorypin.KindClaim, Name: key.String()}
}

// twin is the naive twin of an index: a map of all that was granted.
type twin map[savorypinclaim.KeyID]*twinKey

type twinKey struct {
	attempt string
	outcome savorypinclaim.Outcome
	request uint64
}

// claim decides a claim in the plainest way and takes note of it.
func (w twin) claim(c savorypinclaim.Claim) savorypinclaim.VerdictKind {
	held, ok := w[c.Key]
	free := !ok || (held.outcome == savorypinclaim.OutcomeNotRun && held.attempt != c.Attempt.ID)
	proven := ok && c.Supersedes != "" && held.attempt == c.Supersedes && held.outcome != savorypinclaim.OutcomeDone
	switch {
	case ok && held.outcome == savorypinclaim.OutcomeClosed:
		return savorypinclaim.VerdictTaken
	case ok && held.request != c.Request:
		return savorypinclaim.VerdictMismatch
	case ok && held.attempt == c.Attempt.ID && held.outcome == savorypinclaim.OutcomeClaimed:
		return savorypinclaim.VerdictGranted
	case ok && held.attempt == c.Attempt.ID, !free && !proven:
		return savorypinclaim.VerdictTaken
	}
	w[c.Key] = &twinKey{attempt: c.Attempt.ID, outcome: savorypinclaim.OutcomeClaimed, request: c.Request}
	return savorypinclaim.VerdictGranted
}

func (w twin) settle(s savorypinclaim.Settlement) {
	held, ok := w[s.Key]
	final := ok && (held.outcome == savorypinclaim.OutcomeDone || held.outcome == savorypinclaim.OutcomeNotRun)
	if ok && !final && held.attempt == s.Attempt {
		held.outcome = s.Outcome
	}
}

package savorypinclaim_test

import (
	"context"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinclaim"
)

// objectPerKey is the baseline that shards are compared with: one platform object
// for each key, written once for the claim and once for the outcome.
type objectPerKey struct {
	store savorypinclaim.Store
}

func (o objectPerKey) claim(ctx context.Context, c savorypinclaim.Claim) (int64, bool) {
	written, err := o.store.Create(ctx, savorypin.Object{Key: keyObject(c.Key), Order: c.Attempt.ID})
	return written.Version, err == nil
}

func (o objectPerKey) settle(ctx context.Context, key savorypinclaim.KeyID, version int64) error {
	_, err := o.store.Update(ctx, savorypin.Object{Key: keyObject(key), Version: version})
	return err
}

func keyObject(key savorypinclaim.KeyID) savorypin.Key {
	return savorypin.Key{Kind: savorypin.KindClaim, Name: key.String()}
}

// referenceIndex is a simple model of Index: a map of all granted claims. Its
// verdicts are the expected ones.
type referenceIndex map[savorypinclaim.KeyID]*referenceKey

type referenceKey struct {
	attempt string
	outcome savorypinclaim.Outcome
	request uint64
}

// claim decides a claim and records it if it is granted.
func (r referenceIndex) claim(c savorypinclaim.Claim) savorypinclaim.VerdictKind {
	state, ok := r[c.Key]
	free := !ok || (state.outcome == savorypinclaim.OutcomeNotRun && state.attempt != c.Attempt.ID)
	superseded := ok && c.Supersedes != "" && state.attempt == c.Supersedes && state.outcome != savorypinclaim.OutcomeDone
	switch {
	case ok && state.outcome == savorypinclaim.OutcomeClosed:
		return savorypinclaim.VerdictTaken
	case ok && state.request != c.Request:
		return savorypinclaim.VerdictMismatch
	case ok && state.attempt == c.Attempt.ID && state.outcome == savorypinclaim.OutcomeClaimed:
		return savorypinclaim.VerdictGranted
	case ok && state.attempt == c.Attempt.ID, !free && !superseded:
		return savorypinclaim.VerdictTaken
	}
	r[c.Key] = &referenceKey{attempt: c.Attempt.ID, outcome: savorypinclaim.OutcomeClaimed, request: c.Request}
	return savorypinclaim.VerdictGranted
}

func (r referenceIndex) settle(s savorypinclaim.Settlement) {
	state, ok := r[s.Key]
	final := ok && (state.outcome == savorypinclaim.OutcomeDone || state.outcome == savorypinclaim.OutcomeNotRun)
	if ok && !final && state.attempt == s.Attempt {
		state.outcome = s.Outcome
	}
}

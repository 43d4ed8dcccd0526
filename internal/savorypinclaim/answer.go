package savorypinclaim

import (
	"context"
	"fmt"
)

// storeLargeAnswers writes each answer that is too large for a segment to an
// object of its own. It returns the settlements with stubs in place of these
// answers.
func (s *Shard) storeLargeAnswers(ctx context.Context, settlements []Settlement) ([]Settlement, error) {
	result := make([]Settlement, len(settlements))
	for i, settlement := range settlements {
		answer, err := s.storeLargeAnswer(ctx, settlement)
		if err != nil {
			return nil, err
		}
		settlement.Answer = answer
		result[i] = settlement
	}
	return result, nil
}

func (s *Shard) storeLargeAnswer(ctx context.Context, settlement Settlement) (*Answer, error) {
	answer := settlement.Answer
	if answer == nil || len(answer.Body) <= maxInlineBytes {
		return answer, nil
	}
	stub := Answer{ContentType: answer.ContentType, Status: answer.Status}
	if len(answer.Body) > maxSeparateBytes {
		stub.Lost = true
		return &stub, nil
	}
	// All writers of the object write the same answer, so the attempt id can
	// serve as the order id.
	o, err := newObject(answerKey(settlement.Attempt), settlement.Attempt, s.cfg.Now(), answer)
	if err != nil {
		return nil, err
	}
	if _, err := s.cfg.Store.Create(ctx, o); err != nil {
		if _, readErr := s.cfg.Store.Get(ctx, o.Key); readErr != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
	}
	s.cfg.Count("separate", 1)
	stub.Separate = true
	return &stub, nil
}

// withAnswer adds the stored answer to the verdict on a key that has run.
func (s *Shard) withAnswer(ctx context.Context, key KeyID, v Verdict) (Verdict, error) {
	if v.Kind != VerdictTaken || v.Outcome != OutcomeDone || v.Answer != nil {
		return v, nil
	}
	answer, err := s.readAnswer(ctx, key, v.Segment)
	v.Answer = answer
	return v, err
}

func (s *Shard) readAnswer(ctx context.Context, key KeyID, number uint64) (*Answer, error) {
	segment, err := get[Segment](ctx, s.cfg.Store, segmentKey(s.cfg.Number, number))
	if err != nil {
		return nil, err
	}
	for _, settlement := range segment.Settlements {
		if settlement.Key != key || settlement.Answer == nil {
			continue
		}
		if !settlement.Answer.Separate {
			return settlement.Answer, nil
		}
		answer, err := get[Answer](ctx, s.cfg.Store, answerKey(settlement.Attempt))
		return &answer, err
	}
	return nil, fmt.Errorf("%w: segment %d does not hold the answer", ErrUnavailable, number)
}

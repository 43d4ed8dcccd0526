package savorypinclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"savorypin/internal/savorypin"
)

// Limits of the objects that a shard writes.
const (
	// maxGroupSize is the maximum number of claims, and of settlements, of a
	// segment.
	maxGroupSize = 48
	// maxInlineBytes is the maximum size of an answer that is stored in a
	// segment.
	maxInlineBytes = 4 << 10
	// maxSeparateBytes is the maximum size of an answer that is stored at all.
	maxSeparateBytes = 640 << 10
	// segmentsPerPage is the number of segments that a page summarizes.
	segmentsPerPage = 32
)

// Segment is one committed group of claims and settlements of a shard.
type Segment struct {
	// At is when the segment was written, by the clock of its writer.
	At time.Time `json:"at"`
	// Claims are the claims of the group.
	Claims []Claim `json:"claims,omitempty"`
	// Number is the number of the segment in its shard, from 1.
	Number uint64 `json:"number"`
	// Settlements are the settlements of the group. They apply before the
	// claims.
	Settlements []Settlement `json:"settlements,omitempty"`
}

// Page summarizes segmentsPerPage segments, so that a shard loads quickly.
type Page struct {
	// At is when the last segment was written.
	At time.Time `json:"at"`
	// Entries are the keys that these segments mention, in their last state.
	Entries []PageEntry `json:"entries,omitempty"`
	// Separate holds the ids of the attempts whose answers are separate objects.
	Separate []string `json:"separate,omitempty"`
}

// PageEntry is the state of one key of a page. Attempt is nil if the outcome is
// done or closed.
type PageEntry struct {
	Attempt *Attempt `json:"attempt,omitempty"`
	Key     KeyID    `json:"key"`
	Outcome Outcome  `json:"outcome"`
	Request uint64   `json:"request"`
	Segment uint64   `json:"segment"`
}

// Mark is the object that says where a shard begins. Its number of expired pages
// is raised before the segments of these pages are deleted.
type Mark struct {
	// Deleted is the number of pages that are known to be deleted with their
	// segments.
	Deleted uint64 `json:"deleted"`
	// Page is the number of pages that have expired; the shard begins after
	// them.
	Page uint64 `json:"page"`
}

// first returns the number of the first segment that has not expired.
func (m Mark) first() uint64 {
	return m.Page*segmentsPerPage + 1
}

func answerKey(attempt string) savorypin.Key {
	return savorypin.Key{Kind: savorypin.KindClaim, Name: "answer-" + attempt}
}

func markKey(shard int) savorypin.Key {
	return savorypin.Key{Kind: savorypin.KindClaim, Name: fmt.Sprintf("shard-%d", shard)}
}

// pageKey names a page. Pages are numbered from 1.
func pageKey(shard int, page uint64) savorypin.Key {
	return savorypin.Key{Kind: savorypin.KindClaim, Name: fmt.Sprintf("shard-%d-page-%d", shard, page)}
}

func segmentKey(shard int, number uint64) savorypin.Key {
	return savorypin.Key{Kind: savorypin.KindClaim, Name: fmt.Sprintf("shard-%d-segment-%d", shard, number)}
}

// newObject returns a platform object whose spec is v. After a write whose answer
// was lost, the order id shows whether the write took effect.
func newObject(key savorypin.Key, order string, at time.Time, v any) (savorypin.Object, error) {
	spec, err := json.Marshal(v)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("encode %s: %w", key, err)
	}
	return savorypin.Object{At: at, Key: key, Order: order, Spec: spec}, nil
}

func decodeObject[T any](o savorypin.Object) (T, error) {
	var v T
	if err := json.Unmarshal(o.Spec, &v); err != nil {
		return v, fmt.Errorf("%w: decode %s: %w", ErrUnavailable, o.Key, err)
	}
	return v, nil
}

package savorypinclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"savorypin/internal/savorypin"
)

// Limits of the objects that a shard writes.
const (
	// maxGroup is the largest number of claims, and of settlements, of a
	// segment.
	maxGroup = 48
	// maxInlineBytes is the longest answer that is kept in a segment.
	maxInlineBytes = 4 << 10
	// maxSeparateBytes is the longest answer that is kept at all.
	maxSeparateBytes = 640 << 10
	// pageSegments is the number of segments that a page sums up.
	pageSegments = 32
)

// Segment is one group of a shard.
type Segment struct {
	// At is when the segment was written, by the clock of its writer.
	At time.Time `json:"at"`
	// Claims are the claims of the group.
	Claims []Claim `json:"claims,omitempty"`
	// Number is the number of the segment in its shard, from 1.
	Number uint64 `json:"number"`
	// Settlements come before the claims.
	Settlements []Settlement `json:"settlements,omitempty"`
}

// Page sums up pageSegments segments, so that a shard loads soon.
type Page struct {
	// At is when the last segment was written.
	At time.Time `json:"at"`
	// Entries are the keys that these segments tell of last.
	Entries []PageEntry `json:"entries,omitempty"`
	// Separate are the attempts whose answers are objects of their own.
	Separate []string `json:"separate,omitempty"`
}

// PageEntry is one key of a page.
type PageEntry struct {
	Attempt *Attempt `json:"attempt,omitempty"`
	Key     KeyID    `json:"key"`
	Outcome Outcome  `json:"outcome"`
	Request uint64   `json:"request"`
	Segment uint64   `json:"segment"`
}

// Mark is the object that says where a shard begins. Its page is advanced
// before the segments of the pages before it are deleted.
type Mark struct {
	// Deleted is the number of pages that are surely deleted with their
	// segments.
	Deleted uint64 `json:"deleted"`
	// Page is the number of pages that have expired; the shard begins after
	// them.
	Page uint64 `json:"page"`
}

// first returns the number of the first segment that has not expired.
func (m Mark) first() uint64 {
	return m.Page*pageSegments + 1
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

// newObject returns a platform object whose spec is v. The order id settles a
// write whose answer was lost.
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

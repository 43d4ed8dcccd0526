// Package savorypinclaim stores durable claims on idempotency keys, so that a call
// that is not idempotent runs at most once for each key.
//
// Keys are spread over shards. Each shard is an append-only sequence of small
// segments, which are platform objects that are created only if they don't
// exist. A daemon collects the claims of a shard in groups and commits each
// group as the next segment. A daemon that loses the race for a segment number
// sees the create fail, reads the segment and decides its claims again, so
// that correctness depends on no clock and no lease.
package savorypinclaim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"

	"github.com/google/uuid"
)

// Shards is the number of shards of the key space.
const Shards = 8

// Outcome is the known outcome of a key.
type Outcome string

// The outcomes of a key.
const (
	// OutcomeClaimed means that the current attempt may be running.
	OutcomeClaimed Outcome = "claimed"
	// OutcomeClosed means that the key has not run and never will.
	OutcomeClosed Outcome = "closed"
	// OutcomeDone means that the key has run and that its answer is known.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that no attempt so far has run or ever will. Another
	// attempt may be claimed.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the outcome is lost.
	OutcomeUnknown Outcome = "unknown"
)

// The errors of Claim.
var (
	// ErrNotClaimed means that the claim was not made and that the key has not
	// run.
	ErrNotClaimed = errors.New("key is not claimed")
	// ErrUnavailable means that it is unknown whether a claim was made.
	ErrUnavailable = errors.New("claims are unavailable")
)

// KeyID identifies an idempotency key of a service. Callers choose keys
// freely, so they are hashed.
type KeyID [16]byte

// NewKeyID returns the id of a key of a service.
func NewKeyID(service, key string) KeyID {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return KeyID(sum[:len(KeyID{})])
}

// MarshalText returns the id in hexadecimal.
func (k KeyID) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(k[:])), nil
}

// Shard returns the number of the key's shard, from 0.
func (k KeyID) Shard() int {
	return int(k[0]) % Shards
}

// String returns the id in hexadecimal.
func (k KeyID) String() string {
	return hex.EncodeToString(k[:])
}

// UnmarshalText decodes the hexadecimal form that MarshalText returns.
func (k *KeyID) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(k)) {
		return fmt.Errorf("key id %q has a wrong length", text)
	}
	_, err := hex.Decode(k[:], text)
	return err
}

// RequestSum returns a checksum of a request, which distinguishes a repeat
// from another request with the same key.
func RequestSum(route, contentType string, body []byte) uint64 {
	h := sha256.New()
	for _, part := range []string{route, contentType} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}

// Attempt is one attempt to run the request of a key on one endpoint. It is
// sent to the agent of the endpoint at most once.
type Attempt struct {
	// Endpoint is the endpoint that the attempt is for.
	Endpoint string `json:"endpoint" msgpack:"ep"`
	// ID identifies the attempt.
	ID string `json:"id" msgpack:"id"`
	// Incarnation is the incarnation of the agent that forwards the attempt.
	// Any other incarnation refuses it.
	Incarnation int64 `json:"incarnation" msgpack:"inc"`
	// Member is the name of the endpoint's agent.
	Member string `json:"member" msgpack:"mem"`
}

// NewAttempt returns an attempt with a new random id.
func NewAttempt(member string, incarnation int64, endpoint string) Attempt {
	return Attempt{Endpoint: endpoint, ID: uuid.NewString(), Incarnation: incarnation, Member: member}
}

// Claim requests the right to make an attempt for a key.
type Claim struct {
	// Attempt is the attempt that the claim is for.
	Attempt Attempt `json:"attempt" msgpack:"att"`
	// Close requests that the key never runs, instead of an attempt.
	Close bool `json:"close,omitempty" msgpack:"close,omitempty"`
	// Key is the key.
	Key KeyID `json:"key" msgpack:"key"`
	// Request is the checksum of the request.
	Request uint64 `json:"request" msgpack:"req"`
	// Supersedes is the id of an earlier attempt that has provably not run and
	// never will; empty if there is none.
	Supersedes string `json:"supersedes,omitempty" msgpack:"sup,omitempty"`
}

// Answer is the HTTP answer of an endpoint.
type Answer struct {
	Body        []byte `json:"body,omitempty" msgpack:"body"`
	ContentType string `json:"contentType,omitempty" msgpack:"ct"`
	// Lost says that the body was too large to keep.
	Lost bool `json:"lost,omitempty" msgpack:"lost,omitempty"`
	// Separate says that the body is stored in a separate object.
	Separate bool `json:"separate,omitempty" msgpack:"sep,omitempty"`
	// Status is the HTTP status of the answer.
	Status int `json:"status" msgpack:"st"`
}

// Settlement records the outcome of an attempt.
type Settlement struct {
	// Answer is the answer if the outcome is done.
	Answer *Answer `json:"answer,omitempty" msgpack:"ans,omitempty"`
	// Attempt is the id of the attempt.
	Attempt string `json:"attempt" msgpack:"att"`
	// Key is the key of the attempt.
	Key KeyID `json:"key" msgpack:"key"`
	// Outcome is done, not run or unknown.
	Outcome Outcome `json:"outcome" msgpack:"out"`
}

// VerdictKind says how a claim was decided.
type VerdictKind string

// The kinds of verdicts.
const (
	// VerdictFull means that the shard holds too many keys; nothing was claimed.
	VerdictFull VerdictKind = "full"
	// VerdictGranted means that the claim is durable.
	VerdictGranted VerdictKind = "granted"
	// VerdictMismatch means that the key belongs to another request.
	VerdictMismatch VerdictKind = "mismatch"
	// VerdictTaken means that nothing was claimed: another attempt holds the key,
	// or the key already has an outcome.
	VerdictTaken VerdictKind = "taken"
)

// Verdict is the decision on a claim.
type Verdict struct {
	// Answer is the answer of the endpoint if the outcome is done.
	Answer *Answer `msgpack:"ans,omitempty"`
	// Attempt is the attempt that holds the key. It is zero if the outcome is
	// done or closed.
	Attempt Attempt `msgpack:"att"`
	// Kind says how the claim was decided.
	Kind VerdictKind `msgpack:"kind"`
	// Outcome is the known outcome of the key.
	Outcome Outcome `msgpack:"out"`
	// Segment is the number of the last segment that mentions the key.
	Segment uint64 `msgpack:"seg"`
}

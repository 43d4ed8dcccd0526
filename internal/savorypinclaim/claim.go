// Package savorypinclaim keeps the durable claims that make a call that is not
// idempotent run at most once for each key.
package savorypinclaim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinplatform"
)

// Outcome is what is known of a key.
type Outcome string

// The outcomes of a key.
const (
	// OutcomeClaimed means that the key may be running.
	OutcomeClaimed Outcome = "claimed"
	// OutcomeDone means that the key has run and its answer is known.
	OutcomeDone Outcome = "done"
)

// Errors of claims.
var (
	// ErrTaken means that the key was claimed before.
	ErrTaken = errors.New("key is claimed")
	// ErrUnavailable means that it is not known whether the claim was made.
	ErrUnavailable = errors.New("claims are unavailable")
)

// Claim is the durable record of a key.
type Claim struct {
	// Answer is the answer of the endpoint, if the outcome is done.
	Answer []byte `json:"answer,omitempty"`
	// ContentType is the content type of the answer.
	ContentType string `json:"contentType,omitempty"`
	// Endpoint is the endpoint that the key was or will be passed on to.
	Endpoint string `json:"endpoint"`
	// Key is the idempotency key.
	Key string `json:"key"`
	// Member is the agent beside the endpoint.
	Member string `json:"member"`
	// Outcome is what is known of the key.
	Outcome Outcome `json:"outcome"`
	// Service is the service that is called.
	Service string `json:"service"`
	// Status is the HTTP status of the answer.
	Status int `json:"status,omitempty"`
}

// Book makes and reads claims, one object of the platform for each key.
type Book struct {
	platform *savorypinplatform.Client
}

// NewBook returns a book on a platform.
func NewBook(platform *savorypinplatform.Client) *Book {
	return &Book{platform: platform}
}

// Claim makes a claim and returns its version. It returns ErrTaken if the key
// was claimed before.
func (b *Book) Claim(ctx context.Context, c Claim) (int64, error) {
	c.Outcome = OutcomeClaimed
	o, err := object(c)
	if err != nil {
		return 0, err
	}
	written, err := b.platform.Create(ctx, o)
	if err == nil {
		return written.Version, nil
	}
	// The answer of the write may be lost; the order id tells whose it is.
	held, readErr := b.platform.Get(ctx, o.Key)
	switch {
	case readErr == nil && held.Order == o.Order:
		return held.Version, nil
	case readErr == nil:
		return 0, fmt.Errorf("%s: %w", c.Key, ErrTaken)
	default:
		return 0, fmt.Errorf("%s: %w: %w", c.Key, ErrUnavailable, err)
	}
}

// Read returns the claim of a key and its version. It reports false if there
// is none.
func (b *Book) Read(ctx context.Context, service, key string) (Claim, int64, bool, error) {
	o, err := b.platform.Get(ctx, objectKey(service, key))
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		return Claim{}, 0, false, nil
	}
	if err != nil {
		return Claim{}, 0, false, fmt.Errorf("%s: %w: %w", key, ErrUnavailable, err)
	}
	var c Claim
	if err := json.Unmarshal(o.Spec, &c); err != nil {
		return Claim{}, 0, false, fmt.Errorf("%s: %w: %w", key, ErrUnavailable, err)
	}
	return c, o.Version, true, nil
}

// Settle writes the outcome of a claim.
func (b *Book) Settle(ctx context.Context, c Claim, version int64) error {
	o, err := object(c)
	if err != nil {
		return err
	}
	o.Version = version
	if _, err := b.platform.Update(ctx, o); err != nil {
		return fmt.Errorf("%s: %w: %w", c.Key, ErrUnavailable, err)
	}
	return nil
}

// Release deletes a claim that surely did not run.
func (b *Book) Release(ctx context.Context, c Claim, version int64) error {
	if err := b.platform.Delete(ctx, objectKey(c.Service, c.Key), version); err != nil {
		return fmt.Errorf("%s: %w: %w", c.Key, ErrUnavailable, err)
	}
	return nil
}

func object(c Claim) (savorypin.Object, error) {
	spec, err := json.Marshal(c)
	if err != nil {
		return savorypin.Object{}, fmt.Errorf("%s: encode claim: %w", c.Key, err)
	}
	return savorypin.Object{
		At:    time.Now(),
		Key:   objectKey(c.Service, c.Key),
		Order: uuid.NewString(),
		Spec:  spec,
	}, nil
}

// objectKey names the object of a key. Callers choose keys freely, so they are
// hashed.
func objectKey(service, key string) savorypin.Key {
	const nameBytes = 20
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return savorypin.Key{Kind: savorypin.KindClaim, Name: hex.EncodeToString(sum[:nameBytes])}
}

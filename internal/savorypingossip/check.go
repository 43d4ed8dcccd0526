package savorypingossip

import (
	"errors"
	"fmt"
	"math"
	"time"

	"savorypin/internal/savorypinpick"
)

// Bounds on the values in a message, which limit what a corrupt or forged message can do.
const (
	// maxClockSkew is how far the wall clock of another host may be ahead of this one's.
	maxClockSkew = time.Hour
	// maxAge bounds the ages of copies, rollouts and failures.
	maxAge = 24 * time.Hour
	// maxListLength bounds the number of entries in a list.
	maxListLength = 1024
	// maxEra bounds eras of the store.
	maxEra = 1 << 31
	// maxRequests bounds counts of requests, and maxTokens counts of tokens.
	maxRequests = 1 << 20
	maxTokens   = 1 << 30
)

// errOutOfBounds means that a message contains a value outside its bounds.
var errOutOfBounds = errors.New("value is out of bounds")

// checkBound returns an error that names the value if it is out of its bounds.
func checkBound(what string, ok bool) error {
	if ok {
		return nil
	}
	return fmt.Errorf("%w: %s", errOutOfBounds, what)
}

// validate returns an error if a value in the message is out of bounds. It doesn't check the
// bodies of updates.
func (m *Message) validate(now time.Time) error {
	err := errors.Join(
		checkBound("start", m.Started <= now.Add(maxClockSkew).UnixNano()),
		checkBound("copies", len(m.Copies) <= maxListLength),
		validateFailures(m.History),
	)
	for _, c := range m.Copies {
		err = errors.Join(err, checkBound("age of copy", c.Age <= Age(maxAge)),
			checkBound("version", c.At >= 0 && c.Changed >= 0 && c.Floor >= 0),
			checkBound("era", c.Era >= 0 && c.Era <= maxEra))
	}
	for _, u := range m.Updates {
		err = errors.Join(err, checkBound("start of origin", u.Started <= now.Add(maxClockSkew).UnixNano()))
	}
	return err
}

// validate returns an error if a value in the state is out of bounds.
func (s *GatewayState) validate() error {
	err := errors.Join(
		checkBound("number of entries", max(len(s.Budgets), len(s.Limits), len(s.Loads), len(s.Rollouts), len(s.Suspects), len(s.Waiting)) <= maxListLength),
		validateFailures(s.Failures),
		checkBound("quarantine", s.Quarantine == nil || s.Quarantine.Valid()),
	)
	for _, b := range s.Budgets {
		err = errors.Join(err, checkBound("budget", validCount(b.First) && validCount(b.Repeats)))
	}
	for _, l := range s.Limits {
		err = errors.Join(err, checkBound("limit", l.Valid()))
	}
	for _, l := range s.Loads {
		err = errors.Join(err, checkBound("load", l.Running >= 0 && l.Running <= maxRequests && l.Waiting >= 0 && l.Waiting <= maxTokens))
	}
	for _, r := range s.Rollouts {
		err = errors.Join(err, checkBound("age of rollout", r.Age >= 0 && r.Age <= maxAge))
	}
	return err
}

func validateFailures(failures []savorypinpick.Failure) error {
	err := checkBound("number of failures", len(failures) <= maxListLength)
	for _, f := range failures {
		err = errors.Join(err, checkBound("age of failure", f.Age >= 0 && f.Age <= maxAge))
	}
	return err
}

// validCount reports whether x can be a count of requests.
func validCount(x float64) bool {
	return !math.IsNaN(x) && x >= 0 && x <= maxRequests
}

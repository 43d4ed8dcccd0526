package savorypingossip

import (
	"errors"
	"fmt"
	"math"
	"time"

	"savorypin/internal/savorypinpick"
)

// Bounds on what a message may claim, so that a broken or forged one does little.
const (
	// aheadMost is how far the clock of another host may be ahead.
	aheadMost = time.Hour
	// ageMost bounds ages.
	ageMost = 24 * time.Hour
	// listMost bounds lists.
	listMost = 1024
	// eraMost bounds eras of the store.
	eraMost = 1 << 31
	// countMost bounds counts of requests, and tokensMost counts of tokens.
	countMost  = 1 << 20
	tokensMost = 1 << 30
)

// errClaim means that a message claims something that can't be.
var errClaim = errors.New("claim is out of bounds")

func claim(what string, holds bool) error {
	if holds {
		return nil
	}
	return fmt.Errorf("%w: %s", errClaim, what)
}

// check returns an error if the message claims what can't be.
func (m *Message) check(now time.Time) error {
	err := errors.Join(
		claim("start", m.Started <= now.Add(aheadMost).UnixNano()),
		claim("copies", len(m.Copies) <= listMost),
		checkFailures(m.History),
	)
	for _, c := range m.Copies {
		err = errors.Join(err, claim("age of copy", c.Age <= Age(ageMost)),
			claim("version", c.At >= 0 && c.Changed >= 0 && c.Floor >= 0),
			claim("era", c.Era >= 0 && c.Era <= eraMost))
	}
	for _, r := range m.Rumors {
		err = errors.Join(err, claim("start of origin", r.Started <= now.Add(aheadMost).UnixNano()))
	}
	return err
}

// check returns an error if the news claim what can't be.
func (n *News) check() error {
	err := errors.Join(
		claim("number of entries", max(len(n.Budgets), len(n.Loads), len(n.Rollouts), len(n.Suspects)) <= listMost),
		checkFailures(n.Failures),
	)
	for _, b := range n.Budgets {
		err = errors.Join(err, claim("budget", counts(b.First) && counts(b.Repeats)))
	}
	for _, l := range n.Loads {
		err = errors.Join(err, claim("load", l.Running >= 0 && l.Running <= countMost && l.Waiting >= 0 && l.Waiting <= tokensMost))
	}
	for _, r := range n.Rollouts {
		err = errors.Join(err, claim("age of rollout", r.Age >= 0 && r.Age <= ageMost))
	}
	return err
}

func checkFailures(failures []savorypinpick.Failure) error {
	err := claim("number of failures", len(failures) <= listMost)
	for _, f := range failures {
		err = errors.Join(err, claim("age of failure", f.Age >= 0 && f.Age <= ageMost))
	}
	return err
}

// counts reports whether x can be a count.
func counts(x float64) bool {
	return !math.IsNaN(x) && x >= 0 && x <= countMost
}

package savorypinentry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinroute"
)

// Settings of routing.
const (
	// defaultLinkBytesPerSecond is a link of 30 Mbit/s.
	defaultLinkBytesPerSecond = 30e6 / 8
	// firstTokenLimit is the longest estimated time to the first token with
	// which work begins, whatever time the caller has.
	firstTokenLimit = 20 * time.Second
	// linkDelay is the time that a request and its first token spend on the
	// link between two regions.
	linkDelay = 25 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller is told to come
	// back.
	minRetryAfter = time.Second
	// routeRefresh is how often the router takes over the members.
	routeRefresh = 200 * time.Millisecond
)

func (e *Entry) newRouter() *savorypinroute.Router {
	rate := e.cfg.LinkBytesPerSecond
	if rate == 0 {
		rate = defaultLinkBytesPerSecond
	}
	return savorypinroute.NewRouter(savorypinroute.Config{
		Begun:              e.limits.begun,
		Count:              e.countEvents,
		LinkBytesPerSecond: rate,
		LinkDelay:          func(_, _ string) time.Duration { return linkDelay },
		Now:                time.Now,
		Rand:               e.cfg.Rand,
		Region:             e.cfg.Settings.Region,
	})
}

// countEvents is count for packages that count in 64 bits.
func (e *Entry) countEvents(name string, n int64) {
	e.count(name, int(n))
}

func (e *Entry) routeLoop(ctx context.Context) {
	ticker := time.NewTicker(routeRefresh)
	defer ticker.Stop()
	for {
		e.router.Refresh(e.daemon.Members())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// place chooses the endpoint for new work whose caller waits for the given
// time. It refuses work that cannot begin in time; the error says so and tells
// when to come back.
func (e *Entry) place(need savorypinroute.Need, wait time.Duration) (savorypinroute.Candidate, error) {
	if need.Within == 0 {
		need.Within = firstTokenLimit
	}
	need.Within = max(time.Millisecond, min(need.Within, wait))
	candidate, err := e.choose(need)
	if err != nil {
		return candidate, refusal(need, err)
	}
	return candidate, nil
}

// choose chooses the endpoint for a piece of work within the budget of retries.
func (e *Entry) choose(need savorypinroute.Need) (savorypinroute.Candidate, error) {
	if err := e.limits.mayTry(need.Purpose); err != nil {
		return savorypinroute.Candidate{}, err
	}
	return e.router.Choose(need)
}

// refusal turns an error of the router into one of the core.
func refusal(need savorypinroute.Need, err error) error {
	object := need.Service
	if need.Version != "" {
		object += "/" + need.Version
	}
	refused := savorypin.Errorf(savorypin.KindNotRun, object, "%w", err).WithRetryAfter(minRetryAfter)
	var late *savorypinroute.TooLateError
	if errors.As(err, &late) {
		return refused.WithRetryAfter(max(minRetryAfter, late.RetryAfter()))
	}
	return refused
}

// remaining returns the time until the deadline of ctx.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return firstTokenLimit
	}
	return min(time.Until(deadline), firstTokenLimit)
}

// endpointFault returns the error that a call says of its endpoint.
func endpointFault(answer savorypinmember.PlainAnswer, err error) error {
	if err == nil && answer.Status >= http.StatusInternalServerError {
		return fmt.Errorf("endpoint answered with status %d", answer.Status)
	}
	return err
}

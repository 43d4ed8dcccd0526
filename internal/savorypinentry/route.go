package savorypinentry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinroute"
)

// DefaultFirstTokenLimit is the default of Config.FirstTokenLimit.
const DefaultFirstTokenLimit = 5 * time.Second

// Defaults and intervals of routing.
const (
	// defaultLinkBytesPerSecond is the rate of a link of 30 Mbit/s.
	defaultLinkBytesPerSecond = 30e6 / 8
	// linkDelay is the time that a request and its first token take to cross the link
	// between two regions.
	linkDelay = 25 * time.Millisecond
	// minRetryAfter is the minimum retry delay given to a refused caller.
	minRetryAfter = time.Second
	// routeRefreshInterval is how often the router is updated from the membership.
	routeRefreshInterval = 200 * time.Millisecond
)

// routing is the part of an entry that admits requests and chooses their endpoints.
type routing struct {
	counters *counters
	limits   *limits
	router   *savorypinroute.Router
}

// newRouting returns the routing of an entry and registers its loops, handlers
// and states.
func newRouting(e *Entry) routing {
	c := &counters{registry: e.daemon.Metrics()}
	r := routing{counters: c, limits: newLimits(e, c)}
	r.router = newRouter(e.cfg, c, r.limits)
	e.daemon.Background(r.limits.exchangeLoop)
	e.daemon.Background(e.routeLoop)
	e.daemon.Handle(savorypinmember.FrameUsage, savorypinmember.HandleCall(r.limits.handleUsage))
	e.daemon.RegisterState("limit", func() any { return r.limits.limiter.State() })
	e.daemon.RegisterState("route", func() any { return r.router.State() })
	return r
}

func newRouter(cfg Config, c *counters, l *limits) *savorypinroute.Router {
	rate := cfg.LinkBytesPerSecond
	if rate == 0 {
		rate = defaultLinkBytesPerSecond
	}
	return savorypinroute.NewRouter(savorypinroute.Config{
		OnBegin:            l.chargeAttempt,
		Count:              c.count,
		LinkBytesPerSecond: rate,
		LinkDelay:          func(_, _ string) time.Duration { return linkDelay },
		Now:                time.Now,
		Rand:               cfg.Rand,
		Region:             cfg.Settings.Region,
	})
}

// counters caches the metrics counters by name, since they are incremented on the path
// of requests.
type counters struct {
	byName   sync.Map
	registry metrics.Registry
}

func (c *counters) count(name string, n int64) {
	counter, ok := c.byName.Load(name)
	if !ok {
		counter, _ = c.byName.LoadOrStore(name, metrics.GetOrRegisterCounter(name, c.registry))
	}
	counter.(metrics.Counter).Inc(n)
}

func (e *Entry) routeLoop(ctx context.Context) {
	refresh := func() { e.router.Refresh(e.daemon.Members()) }
	refresh()
	savorypinloop.Every(ctx, routeRefreshInterval, refresh)
}

// place chooses the endpoint for new work whose caller waits for the given time. It
// refuses work that can't begin in time; the error contains when to retry.
func (e *Entry) place(req savorypinroute.Request, wait time.Duration) (savorypinroute.Candidate, error) {
	if req.MaxFirstToken == 0 {
		req.MaxFirstToken = e.cfg.FirstTokenLimit
	}
	req.MaxFirstToken = max(time.Millisecond, min(req.MaxFirstToken, wait))
	candidate, err := e.choose(req)
	if err != nil {
		return candidate, refusalError(req, err)
	}
	return candidate, nil
}

// choose chooses the endpoint for a piece of work within the retry budget.
func (e *Entry) choose(req savorypinroute.Request) (savorypinroute.Candidate, error) {
	if err := e.limits.checkRetryBudget(req.Purpose); err != nil {
		return savorypinroute.Candidate{}, err
	}
	return e.router.Choose(req)
}

// refusalError converts an error of the router to a savorypin.Error that contains when
// to retry.
func refusalError(req savorypinroute.Request, err error) error {
	object := req.Service
	if req.Version != "" {
		object += "/" + req.Version
	}
	refused := savorypin.Errorf(savorypin.KindNotRun, object, "%w", err).WithRetryAfter(minRetryAfter)
	var tooLate *savorypinroute.TooLateError
	if errors.As(err, &tooLate) {
		return refused.WithRetryAfter(max(minRetryAfter, tooLate.RetryAfter()))
	}
	return refused
}

// callWait returns how long a call of an organisation may wait for its first result,
// at most until the deadline of ctx.
func (e *Entry) callWait(ctx context.Context, organisation string) time.Duration {
	wait := e.cfg.FirstTokenLimit
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	return e.limits.limiter.MaxWait(organisation, wait)
}

// endpointFault returns the error that the result of a call is recorded with for its
// endpoint. A server error status is a fault of the endpoint.
func endpointFault(answer savorypinmember.PlainAnswer, err error) error {
	if err == nil && answer.Status >= http.StatusInternalServerError {
		return fmt.Errorf("endpoint answered with status %d", answer.Status)
	}
	return err
}

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

// DefaultFirstTokenLimit is the FirstTokenLimit of an entry that is given none.
const DefaultFirstTokenLimit = 5 * time.Second

// Settings of routing.
const (
	// defaultLinkBytesPerSecond is a link of 30 Mbit/s.
	defaultLinkBytesPerSecond = 30e6 / 8
	// linkDelay is the time that a request and its first token spend on the
	// link between two regions.
	linkDelay = 25 * time.Millisecond
	// minRetryAfter is the shortest time after which a caller is told to come
	// back.
	minRetryAfter = time.Second
	// routeRefresh is how often the router takes over the members.
	routeRefresh = 200 * time.Millisecond
)

// routing is the part of an entry that admits requests and places them.
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
	e.daemon.Background(r.limits.loop)
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
		Begun:              l.begun,
		Count:              c.count,
		LinkBytesPerSecond: rate,
		LinkDelay:          func(_, _ string) time.Duration { return linkDelay },
		Now:                time.Now,
		Rand:               cfg.Rand,
		Region:             cfg.Settings.Region,
	})
}

// counters are metrics that are counted by name on the path of a request.
type counters struct {
	held     sync.Map
	registry metrics.Registry
}

func (c *counters) count(name string, n int64) {
	held, ok := c.held.Load(name)
	if !ok {
		held, _ = c.held.LoadOrStore(name, metrics.GetOrRegisterCounter(name, c.registry))
	}
	held.(metrics.Counter).Inc(n)
}

func (e *Entry) routeLoop(ctx context.Context) {
	refresh := func() { e.router.Refresh(e.daemon.Members()) }
	refresh()
	savorypinloop.Every(ctx, routeRefresh, refresh)
}

// place chooses the endpoint for new work whose caller waits for the given
// time. It refuses work that cannot begin in time; the error says so and tells
// when to come back.
func (e *Entry) place(need savorypinroute.Need, wait time.Duration) (savorypinroute.Candidate, error) {
	if need.Within == 0 {
		need.Within = e.cfg.FirstTokenLimit
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

// callWait returns how long the answer of an organisation's call may be waited
// for.
func (e *Entry) callWait(ctx context.Context, organisation string) time.Duration {
	wait := e.cfg.FirstTokenLimit
	if deadline, ok := ctx.Deadline(); ok {
		wait = min(wait, time.Until(deadline))
	}
	return e.limits.limiter.Wait(organisation, wait)
}

// endpointFault returns the error that a call says of its endpoint.
func endpointFault(answer savorypinmember.PlainAnswer, err error) error {
	if err == nil && answer.Status >= http.StatusInternalServerError {
		return fmt.Errorf("endpoint answered with status %d", answer.Status)
	}
	return err
}

package savorypinentry

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinconfig"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinrank"
)

// errRetryBudget means that a piece of work may not be tried again now.
var errRetryBudget = errors.New("budget of retries is spent")

// limits enforces the limits of organisations over all entries.
type limits struct {
	config   atomic.Pointer[savorypinconfig.Snapshot]
	counters *counters
	entry    *Entry
	limiter  *savorypinlimit.Limiter
	owner    *savorypinlimit.Owner
	retries  savorypinlimit.RetryBudget
	mu       sync.Mutex
	share    atomic.Pointer[float64]

	// The fields below belong to the exchange loop.
	owners savorypinlimit.Owners
	reach  *savorypinlimit.Reach
	wg     sync.WaitGroup
}

func newLimits(e *Entry, c *counters) *limits {
	l := &limits{
		counters: c,
		entry:    e,
		limiter:  savorypinlimit.NewLimiter(savorypinlimit.Config{Count: c.count, Now: time.Now}),
		owner:    savorypinlimit.NewOwner(time.Now()),
		reach:    savorypinlimit.NewReach(),
	}
	whole := 1.0
	l.share.Store(&whole)
	return l
}

// admit asks whether an organisation may begin a request that may take a
// number of tokens.
func (l *limits) admit(organisation string, maxTokens int) (*savorypinlimit.Admission, error) {
	l.configure()
	admission, err := l.limiter.Admit(organisation, maxTokens)
	var limited *savorypinlimit.LimitedError
	if errors.As(err, &limited) {
		return nil, savorypin.Errorf(savorypin.KindLimited, organisation, "%w", err).WithRetryAfter(limited.RetryAfter)
	}
	return admission, err
}

// configure brings a changed configuration into force. An older one never
// replaces a newer one.
func (l *limits) configure() {
	if l.config.Load() == l.entry.daemon.Config() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	config := l.entry.daemon.Config()
	l.limiter.Configure(config.Organisations())
	l.config.Store(config)
}

// loop exchanges usage and grants with the other entries.
func (l *limits) loop(ctx context.Context) {
	defer l.wg.Wait()
	l.exchange(ctx)
	savorypinloop.Every(ctx, savorypinlimit.ExchangeInterval, func() { l.exchange(ctx) })
}

// exchange reports what is due to the owners.
func (l *limits) exchange(ctx context.Context) {
	l.configure()
	addresses, known := l.findEntries()
	due := l.limiter.Tick(known, l.owners.Of)
	for owner, report := range due {
		l.wg.Go(func() { l.report(ctx, owner, addresses[owner], report) })
	}
	l.owner.Sweep(time.Now())
	l.retries.EarnIdle()
}

// findEntries finds the live entries and returns their addresses, and the
// number of entries that may admit requests.
func (l *limits) findEntries() (addresses map[string]string, known int) {
	self := l.entry.cfg.Settings
	addresses = map[string]string{self.Name: ""}
	regions := map[string]int{self.Region: 1}
	for _, m := range l.entry.daemon.Members().All() {
		state := m.State()
		if state.Role == savorypin.RoleEntry && m.Usable() && state.Name != self.Name {
			addresses[state.Name] = state.Address
			regions[state.Region]++
		}
	}
	known, share := l.reach.Update(regions, time.Now())
	l.share.Store(&share)
	if before, changed := l.owners.SetEntries(slices.Sorted(maps.Keys(addresses))); changed {
		l.owner.EntriesChanged(func(organisation string) bool {
			return len(before) > 0 && savorypinrank.Names(organisation, before)[0] == self.Name
		}, time.Now())
	}
	return addresses, known
}

// report reports usage to the owner and takes over what it grants.
func (l *limits) report(ctx context.Context, owner, address string, report savorypinlimit.Report) {
	sent := time.Now()
	if address == "" {
		l.limiter.Granted(owner, report, l.grant(owner, report), sent)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := savorypinmember.Call[savorypinmember.Usage, savorypinmember.Grants](
		ctx, l.entry.daemon.Transport(), address, savorypinmember.FrameUsage,
		savorypinmember.Usage{Organisations: report.Usages, Renewal: report.Renewal})
	if err != nil {
		l.entry.daemon.Logger().Debug("Usage not reported", "owner", owner, "err", err)
		return
	}
	l.limiter.Granted(owner, report, reply.Answer(), sent)
}

func (l *limits) handleUsage(
	_ context.Context,
	peer savorypinmember.Hello,
	req savorypinmember.Usage,
) (savorypinmember.Grants, error) {
	if peer.Role != savorypin.RoleEntry {
		return savorypinmember.Grants{}, savorypin.Errorf(savorypin.KindInvalid, peer.Name, "only entries report usage")
	}
	return savorypinmember.NewGrants(l.grant(peer.Name, req.Report())), nil
}

func (l *limits) grant(entry string, report savorypinlimit.Report) savorypinlimit.Answer {
	config, share := l.entry.daemon.Config(), *l.share.Load()
	return l.owner.Grant(entry, report, func(organisation string) savorypinlimit.Amount {
		spec, _ := config.Organisation(organisation)
		return savorypinlimit.LimitOf(spec, share)
	}, time.Now())
}

// mayTry returns an error if a piece of work may not be tried again now.
func (l *limits) mayTry(purpose savorypin.Purpose) error {
	again := purpose == savorypin.PurposeHedge || purpose == savorypin.PurposeRetry
	if again && !l.retries.Left() {
		l.counters.count("route.refusals.retry", 1)
		return errRetryBudget
	}
	return nil
}

// begun charges an attempt to the budget of retries.
func (l *limits) begun(purpose savorypin.Purpose) {
	switch purpose {
	case savorypin.PurposeFirst:
		l.retries.Earn()
	case savorypin.PurposeHedge, savorypin.PurposeRetry:
		l.retries.Spend()
	case savorypin.PurposeResume:
	}
}

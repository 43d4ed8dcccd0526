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

// errRetryBudget means that the retry budget does not allow another attempt now.
var errRetryBudget = errors.New("budget of retries is spent")

// limits enforces the limits of organisations jointly with the other entries.
type limits struct {
	config   atomic.Pointer[savorypinconfig.Snapshot]
	counters *counters
	entry    *Entry
	limiter  *savorypinlimit.Limiter
	// owner grants shares of the limits of the organisations that this entry owns.
	owner   *savorypinlimit.Owner
	retries savorypinlimit.RetryBudget
	mu      sync.Mutex
	// reachableShare is the share of the limits that the live entries may use.
	reachableShare atomic.Pointer[float64]

	// The fields below are used by the exchange loop only.
	// owners finds the entry that owns the limits of an organisation.
	owners       savorypinlimit.Owners
	reachability *savorypinlimit.Reachability
	wg           sync.WaitGroup
}

func newLimits(e *Entry, c *counters) *limits {
	l := &limits{
		counters:     c,
		entry:        e,
		limiter:      savorypinlimit.NewLimiter(savorypinlimit.Config{Count: c.count, Now: time.Now}),
		owner:        savorypinlimit.NewOwner(time.Now()),
		reachability: savorypinlimit.NewReachability(),
	}
	full := 1.0
	l.reachableShare.Store(&full)
	return l
}

// admit checks the limits of an organisation for a request of up to maxTokens tokens.
func (l *limits) admit(organisation string, maxTokens int) (*savorypinlimit.Admission, error) {
	l.configure()
	admission, err := l.limiter.Admit(organisation, maxTokens)
	var limited *savorypinlimit.LimitedError
	if errors.As(err, &limited) {
		return nil, savorypin.Errorf(savorypin.KindLimited, organisation, "%w", err).WithRetryAfter(limited.RetryAfter)
	}
	return admission, err
}

// configure applies the current configuration to the limiter. The lock ensures that an
// older one never replaces a newer one.
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

// exchangeLoop periodically exchanges usage and grants with the other entries.
func (l *limits) exchangeLoop(ctx context.Context) {
	defer l.wg.Wait()
	l.exchange(ctx)
	savorypinloop.Every(ctx, savorypinlimit.ExchangeInterval, func() { l.exchange(ctx) })
}

// exchange sends the usage reports that are due, each to the owner of its
// organisations.
func (l *limits) exchange(ctx context.Context) {
	l.configure()
	addresses, entryCount := l.findEntries()
	reports := l.limiter.Tick(entryCount, l.owners.Of)
	for owner, report := range reports {
		l.wg.Go(func() { l.report(ctx, owner, addresses[owner], report) })
	}
	l.owner.Sweep(time.Now())
	l.retries.EarnIdle()
}

// findEntries returns the addresses of the live entries by name, this one's being
// empty, and the number of entries that may admit requests. If the set of live entries
// has changed, it also updates the owners of the organisations.
func (l *limits) findEntries() (addresses map[string]string, entryCount int) {
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
	entryCount, share := l.reachability.Update(regions, time.Now())
	l.reachableShare.Store(&share)
	if previous, changed := l.owners.SetEntries(slices.Sorted(maps.Keys(addresses))); changed {
		l.owner.RecordEntriesChange(func(organisation string) bool {
			return len(previous) > 0 && savorypinrank.Names(organisation, previous)[0] == self.Name
		}, time.Now())
	}
	return addresses, entryCount
}

// report sends usage to the owner and applies the grants that it returns.
func (l *limits) report(ctx context.Context, owner, address string, report savorypinlimit.Report) {
	sent := time.Now()
	if address == "" {
		l.limiter.ApplyAnswer(owner, report, l.grant(owner, report), sent)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := savorypinmember.Call[savorypinmember.Usage, savorypinmember.Grants](
		ctx, l.entry.daemon.Transport(), address, savorypinmember.FrameUsage,
		savorypinmember.Usage{Organisations: report.Usages, Renewal: report.Renewal})
	if err != nil {
		l.entry.daemon.Logger().Debug("Failed to report usage to its owner", "owner", owner, "err", err)
		return
	}
	l.limiter.ApplyAnswer(owner, report, reply.Answer(), sent)
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
	config, share := l.entry.daemon.Config(), *l.reachableShare.Load()
	return l.owner.Grant(entry, report, func(organisation string) savorypinlimit.Amount {
		spec, _ := config.Organisation(organisation)
		return savorypinlimit.ShareOfLimits(spec, share)
	}, time.Now())
}

// checkRetryBudget returns errRetryBudget if work of the purpose is a retry or hedge
// and the budget is spent.
func (l *limits) checkRetryBudget(purpose savorypin.Purpose) error {
	isRetry := purpose == savorypin.PurposeHedge || purpose == savorypin.PurposeRetry
	if isRetry && !l.retries.Available() {
		l.counters.count("route.refusals.retry", 1)
		return errRetryBudget
	}
	return nil
}

// chargeAttempt updates the retry budget for a new attempt: first attempts add to it,
// hedges and retries draw on it. Resumes are free.
func (l *limits) chargeAttempt(purpose savorypin.Purpose) {
	switch purpose {
	case savorypin.PurposeFirst:
		l.retries.Earn()
	case savorypin.PurposeHedge, savorypin.PurposeRetry:
		l.retries.Spend()
	case savorypin.PurposeResume:
	}
}

package savorypinscaling

import (
	"fmt"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinmember"
)

// Sizes and times of the measurement of limits.
const (
	// limitEntries is the number of entries that share the requests.
	limitEntries = 20
	// limitMembers is the number of members at which all limitOrganisations exist;
	// at other sizes their number is proportional.
	limitMembers = 320
	// limitOrganisations is the number of organisations.
	limitOrganisations = 670
	// limitRequests is the number of requests per second over all entries.
	limitRequests = 3600
	// limitMeasureTime is how long bytes are counted, after a warm-up of the same
	// length.
	limitMeasureTime = 30 * time.Second
)

// ampleLimits are far above the usage of an organisation at all entries.
// tightLimits are so low that each entry keeps reporting its demand.
var (
	ampleLimits = savorypin.OrganisationSpec{RequestsPerSecond: 100, TokensPerSecond: 10_000}
	tightLimits = savorypin.OrganisationSpec{RequestsPerSecond: 0.1, TokensPerSecond: 10}
)

// Limit measures the bytes that an entry sends and receives to enforce the limits
// of organisations over all entries when all organisations are active at it. It
// runs the real limiter and owners on a simulated clock.
func Limit(members int) []Row {
	organisations := limitOrganisations * members / limitMembers
	rows := []Row{
		{Name: "active organisations", Unit: "organisations", Value: float64(organisations)},
		{Name: "usage and grants", Unit: "B/s", Value: limitBytes(members, organisations, ampleLimits)},
		{Name: "the same, all limits reached", Unit: "B/s", Value: limitBytes(members, organisations, tightLimits)},
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

// limitBytes returns the bytes per second that one entry exchanges for a number of
// organisations that each have the given limits.
func limitBytes(members, organisations int, limits savorypin.OrganisationSpec) float64 {
	now := time.Unix(1_800_000_000, 0)
	m := newLimitMeter(organisations, limits, func() time.Time { return now })
	half := now.Add(limitMeasureTime)
	for end := half.Add(limitMeasureTime); now.Before(end); now = now.Add(savorypinlimit.ExchangeInterval) {
		if now.Before(half) {
			m.bytes = 0
		}
		m.admitRequests(float64(members) / limitMembers)
		m.exchange(now)
	}
	return float64(m.bytes) / limitMeasureTime.Seconds()
}

// newLimitMeter returns a limitMeter for an entry that has exchanged nothing yet.
func newLimitMeter(organisations int, limits savorypin.OrganisationSpec, now func() time.Time) *limitMeter {
	m := &limitMeter{
		limiter: savorypinlimit.NewLimiter(savorypinlimit.Config{Count: func(string, int64) {}, Now: now}),
		owners:  map[string]*savorypinlimit.Owner{},
		specs:   map[string]savorypin.OrganisationSpec{},
	}
	for i := range organisations {
		m.specs[fmt.Sprintf("organisation-%04d", i)] = limits
	}
	var entries []string
	for i := range limitEntries {
		name := fmt.Sprintf("entry-%02d", i)
		entries = append(entries, name)
		m.owners[name] = savorypinlimit.NewOwner(now())
	}
	m.ranking.SetEntries(entries)
	m.limiter.Configure(m.specs)
	return m
}

// limitMeter counts the bytes that one entry exchanges with the owners of limits.
type limitMeter struct {
	bytes            int
	pendingRequests  float64
	limiter          *savorypinlimit.Limiter
	nextOrganisation int
	owners           map[string]*savorypinlimit.Owner
	ranking          savorypinlimit.Owners
	specs            map[string]savorypin.OrganisationSpec
}

// admitRequests passes the requests that the entry receives in one exchange
// interval, from the organisations in turn, to the limiter. The scale is the number
// of members relative to limitMembers.
func (m *limitMeter) admitRequests(scale float64) {
	m.pendingRequests += scale * limitRequests / limitEntries * savorypinlimit.ExchangeInterval.Seconds()
	for ; m.pendingRequests >= 1; m.pendingRequests-- {
		name := fmt.Sprintf("organisation-%04d", m.nextOrganisation%len(m.specs))
		m.nextOrganisation++
		if admission, err := m.limiter.Admit(name, 512); err == nil {
			admission.Release(256)
		}
	}
}

// exchange reports usage to the owners that are due and applies their grants.
func (m *limitMeter) exchange(now time.Time) {
	due := m.limiter.Tick(limitEntries, m.ranking.Of)
	for name, report := range due {
		answer := m.owners[name].Grant("entry", report, func(organisation string) savorypinlimit.Amount {
			return savorypinlimit.ShareOfLimits(m.specs[organisation], 1)
		}, now)
		m.count(savorypinmember.Usage{Organisations: report.Usages, Renewal: report.Renewal})
		m.count(savorypinmember.NewGrants(answer))
		m.limiter.ApplyAnswer(name, report, answer, now)
	}
}

// count adds the encoded size of a message.
func (m *limitMeter) count(message any) {
	data, err := savorypinmember.EncodeFrame(savorypinmember.FrameUsage, 1, message)
	if err == nil {
		m.bytes += len(data)
	}
}

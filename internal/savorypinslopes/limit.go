package savorypinslopes

import (
	"fmt"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinmember"
)

// Sizes of the measurement of limits.
const (
	// limitEntries is the number of entries that share the requests.
	limitEntries = 20
	// limitMembers is the number of members at which all organisations exist.
	limitMembers = 320
	// limitOrganisations is the number of organisations.
	limitOrganisations = 670
	// limitRequests is the number of requests a second over all entries.
	limitRequests = 3600
	// limitTime is how long bytes are counted, after as long a start.
	limitTime = 30 * time.Second
)

// Limit measures what an entry sends and receives to hold the limits of
// organisations over all entries, where all of them are active at it. It drives
// the real limiter and owner on a clock of its own.
func Limit(members int) []Row {
	organisations := limitOrganisations * members / limitMembers
	specs := map[string]savorypin.OrganisationSpec{}
	for i := range organisations {
		specs[fmt.Sprintf("organisation-%04d", i)] = savorypin.OrganisationSpec{RequestsPerSecond: 100, TokensPerSecond: 10_000}
	}
	now := time.Unix(1_800_000_000, 0)
	m := &limitMeter{
		limiter: savorypinlimit.NewLimiter(savorypinlimit.Config{Count: func(string, int64) {}, Now: func() time.Time { return now }}),
		owner:   savorypinlimit.NewOwner(now),
		specs:   specs,
	}
	m.limiter.Configure(specs)
	half := now.Add(limitTime)
	for end := half.Add(limitTime); now.Before(end); now = now.Add(savorypinlimit.ExchangeInterval) {
		if now.Equal(half) || (now.Before(half) && !now.Add(savorypinlimit.ExchangeInterval).Before(half)) {
			m.bytes, m.frames = 0, 0
		}
		m.request(float64(members) / limitMembers)
		m.exchange(now)
	}
	rows := []Row{
		{Name: "active organisations", Unit: "organisations", Value: float64(organisations)},
		{Name: "usage and grants", Unit: "B/s", Value: float64(m.bytes) / limitTime.Seconds()},
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

// limitMeter counts what one entry exchanges with the owners of limits.
type limitMeter struct {
	bytes   int
	credit  float64
	frames  int
	limiter *savorypinlimit.Limiter
	next    int
	owner   *savorypinlimit.Owner
	specs   map[string]savorypin.OrganisationSpec
}

// request makes the requests of one interval, of one organisation after the
// other.
func (m *limitMeter) request(size float64) {
	m.credit += size * limitRequests / limitEntries * savorypinlimit.ExchangeInterval.Seconds()
	for ; m.credit >= 1; m.credit-- {
		name := fmt.Sprintf("organisation-%04d", m.next%len(m.specs))
		m.next++
		if admission, err := m.limiter.Admit(name, 512); err == nil {
			admission.Release(256)
		}
	}
}

func (m *limitMeter) exchange(now time.Time) {
	due := m.limiter.Tick(limitEntries, func(string) string { return "owner" })
	for owner, usages := range due {
		grants := m.owner.Grant("entry", usages, func(organisation string) savorypinlimit.Amount {
			return savorypinlimit.LimitOf(m.specs[organisation], 1)
		}, now)
		m.count(savorypinmember.Usage{Organisations: usages})
		m.count(savorypinmember.Grants{Amounts: grants})
		m.limiter.Granted(owner, usages, grants, now)
	}
}

func (m *limitMeter) count(message any) {
	data, err := savorypinmember.EncodeFrame(savorypinmember.FrameUsage, 1, message)
	if err == nil {
		m.bytes += len(data)
		m.frames++
	}
}

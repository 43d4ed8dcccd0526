package savorypinpick

import (
	"savorypin/internal/savorypinfleet"
)

// Settings of the selection of an endpoint for a backup. The fractions are of an engine's memory.
const (
	// backupRiskWeight is the score of a failure risk of 1. Each backup that the endpoint keeps and
	// each request that it runs score 1.
	backupRiskWeight = 4
	// backupMemoryWeight is the score of an endpoint whose memory is fully reserved.
	backupMemoryWeight = 8
	// maxCopyFraction limits the copies at an endpoint for a primary of average risk: engines run
	// fewer requests at once the more memory copies take. maxRelativeRisk and minRelativeRisk bound
	// how far the limit follows the risk of the primary's domain.
	maxCopyFraction = 0.33
	maxRelativeRisk = 2
	minRelativeRisk = 0.7
	// maxLoadForCopy is the reserved fraction up to which an endpoint takes a copy. The rest is for
	// requests, which must not be preempted for copies.
	maxLoadForCopy = 0.8
	// maxLoadWithoutRisk replaces maxLoadForCopy while no domain is expected to fail, and
	// maxLoadForUrgentCopy for copies of the most urgent requests.
	maxLoadWithoutRisk   = 0.35
	maxLoadForUrgentCopy = 0.95
)

// ChooseBackup returns the endpoint that keeps a backup of the KV cache of a request on
// primary: one with few backups and requests in another failure domain with a low
// failure risk. Endpoints that may be lost are used only if there are no others. It
// returns nil if all endpoints in other domains are suspect or have no memory to spare.
func (p *Picker) ChooseBackup(primary *savorypinfleet.Endpoint, q Query) *savorypinfleet.Endpoint {
	return randomEndpoint(p.BackupChoices(primary, q))
}

// BackupChoices returns the endpoints with the best score for a backup, among which ChooseBackup
// draws one.
func (p *Picker) BackupChoices(primary *savorypinfleet.Endpoint, q Query) []*savorypinfleet.Endpoint {
	now := p.cfg.Now()
	risks := p.risks(now)
	limits := newCopyLimits(risks, primary.Domain(), q)
	var eligible, possiblyLost []*savorypinfleet.Endpoint
	for _, e := range p.backupSample(primary, q) {
		switch {
		case p.suspect(e, now) || !limits.allow(p.state(e)):
		case p.possiblyLost(e):
			possiblyLost = append(possiblyLost, e)
		default:
			eligible = append(eligible, e)
		}
	}
	if len(eligible) == 0 {
		eligible = possiblyLost
	}
	return lowestScored(eligible, 0, func(e *savorypinfleet.Endpoint) float64 {
		return p.backupScore(e, q, risks)
	})
}

// backupSample returns the endpoints in other failure domains to select from. If memory is limited, it
// is a sample, whether they are suspect or not: otherwise all gateways select the same few endpoints before
// they receive each other's load reports.
func (p *Picker) backupSample(primary *savorypinfleet.Endpoint, q Query) []*savorypinfleet.Endpoint {
	var others []*savorypinfleet.Endpoint
	for _, e := range q.allowed(q.Candidates) {
		if e.Domain() != primary.Domain() {
			others = append(others, e)
		}
	}
	if q.MemoryTokens <= 0 {
		return others
	}
	return p.rendezvousSample(others, ^q.affinityHash())
}

// backupScore returns the score of an endpoint for a backup; lower is better.
func (p *Picker) backupScore(e *savorypinfleet.Endpoint, q Query, risks map[string]float64) float64 {
	state := p.state(e)
	s := float64(state.backups.Load()) + p.runningRequests(state) + backupRiskWeight*risks[e.Domain()]
	if q.MemoryTokens > 0 {
		s += backupMemoryWeight * float64(state.reservedMemory().total()) / float64(q.MemoryTokens)
	}
	if p.cfg.Regions[e.Domain()] != p.cfg.Region {
		s++
	}
	return s
}

// copyLimits limits the copies at an endpoint, in tokens.
type copyLimits struct {
	// copies limits all copies there, total the copies and requests together.
	copies, total float64
	// unlimited says that the memory of the engines is unknown.
	unlimited bool
	// reservation is the size of the new copy.
	reservation float64
}

// newCopyLimits returns the limits for a copy of a request whose primary is in a domain, given the
// failure risks by domain. The riskier the domain, the more memory a copy is worth. The most urgent
// requests have a copy wherever it fits: those that are less urgent make room for them.
func newCopyLimits(risks map[string]float64, domain string, q Query) copyLimits {
	if q.MemoryTokens <= 0 {
		return copyLimits{unlimited: true}
	}
	sum := 0.0
	for _, risk := range risks {
		sum += risk
	}
	memory := float64(q.MemoryTokens)
	limits := copyLimits{copies: memory, total: maxLoadWithoutRisk * memory, reservation: float64(q.ReserveTokens)}
	switch {
	case q.Rank == 0:
		limits.total = maxLoadForUrgentCopy * memory
	case sum > 0:
		relativeRisk := risks[domain] * float64(len(risks)) / sum
		limits.copies = min(maxRelativeRisk, max(minRelativeRisk, relativeRisk)) * maxCopyFraction * memory
		limits.total = maxLoadForCopy * memory
	}
	return limits
}

// allow reports whether an endpoint takes the copy.
func (l copyLimits) allow(s *endpointState) bool {
	if l.unlimited {
		return true
	}
	reserved := s.reservedMemory()
	return float64(reserved.copies)+l.reservation <= l.copies && float64(reserved.total())+l.reservation <= l.total
}

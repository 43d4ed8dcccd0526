package savorypingateway

import (
	"cmp"
	"slices"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinquarantine"
	"savorypin/internal/savorypinrollout"
	"savorypin/internal/savorypinwhere"
)

// Notes on what a dry run can't know.
const (
	noteBodyUnknown  = "whether the request itself is in quarantine depends on its body"
	noteRandomSample = "without the parts of the prompt, the endpoints compared are a random sample, another one for each request"
	noteLimitChance  = "the limit of an endpoint lets a request pass by chance"
)

// maxListed bounds the endpoints in an answer, so that it costs no more than a request in a large
// deployment.
const maxListed = 100

// likelyChance is the probability from which on a request counts as let pass by a limit.
const likelyChance = 0.5

// dryRun decides on a request as for a caller's, without sending it. It takes nothing from budgets,
// limits and reservations, counts nothing and changes nothing.
type dryRun struct {
	answer  savorypinwhere.Answer
	gateway *Gateway
	// chosen is the last choice of an endpoint, among candidates.
	chosen     savorypinpick.Explanation
	candidates []*savorypinfleet.Endpoint
	query      savorypinwhere.Query
	req        *request
}

// run decides on a call. It returns a refusal if no endpoint would get the request.
func (d *dryRun) run(call *savorypinfleet.Call) *refusal {
	if refused := d.checkStop(); refused != nil {
		return refused
	}
	req, refused := d.gateway.admitHead(call)
	if req != nil {
		d.describe(req)
	}
	if refused != nil {
		return refused
	}
	d.req = req
	if err := req.upload.check(d.query.BodyBytes); err != nil {
		return bodyRefusal(err)
	}
	e, refused := d.firstAttempt()
	if refused != nil {
		return refused
	}
	if e == nil {
		return nil
	}
	d.answer.Endpoint = e.ID()
	if req.service.Backups() && req.route.Kind() == savorypinfleet.RouteStreaming {
		d.answer.Copies = ids(d.gateway.picker.BackupChoices(e, d.gateway.query(req, map[string]bool{e.ID(): true})))
	}
	return nil
}

// checkStop describes a planned stop. It returns a refusal once the gateway accepts no connections.
func (d *dryRun) checkStop() *refusal {
	g := d.gateway
	since := g.stoppingFor()
	if since == 0 {
		return nil
	}
	grace := g.settings.Load().StopGracePeriod
	d.answer.Stop = &savorypinwhere.Stop{LeftNs: max(0, grace-stopMargin-since), SinceNs: since}
	if since >= acceptPeriod(grace) {
		return &refusal{reason: "gateway stops and accepts no connections"}
	}
	return nil
}

// describe describes the request.
func (d *dryRun) describe(req *request) {
	a := &d.answer
	a.Route, a.RouteKind = req.route.Name(), string(req.route.Kind())
	a.Service, a.Organisation = req.service.Name(), req.organisation
	if shares := req.route.Shares(); len(shares) > 1 {
		for _, s := range shares {
			a.Shares = append(a.Shares, savorypinwhere.Share{Service: s.Service, Weight: s.Weight})
		}
	}
	if req.priority.distinct {
		a.Priority = &savorypinwhere.Priority{Engine: req.priority.forAttempt(false), Rank: req.priority.rank}
	}
	if tokens := req.memoryTokens(); tokens > 0 {
		a.Memory = &savorypinwhere.Memory{EngineTokens: tokens, ReservedTokens: req.reserveTokens()}
	}
}

// firstAttempt returns the endpoint of the first attempt, or a refusal; neither if the request waits.
func (d *dryRun) firstAttempt() (*savorypinfleet.Endpoint, *refusal) {
	g, req := d.gateway, d.req
	if c := d.checkQuarantine(); c != nil {
		return nil, confinedRefusal(c, false)
	}
	streaming := req.route.Kind() == savorypinfleet.RouteStreaming
	if streaming && !d.inTime() {
		return nil, g.streamNotRunRefusal(req, errDeadlineTooClose)
	}
	if !streaming && !d.mayIsolate() {
		d.answer.Quarantine = &savorypinwhere.Quarantine{Subject: req.whole().String()}
		return nil, isolatedRefusal(req.whole())
	}
	if s := (&stream{gateway: g, req: req}); streaming {
		if q := s.queue(); q != nil {
			return d.awaitPlace(q), nil
		}
	}
	e := d.chooseEndpoint()
	d.describeChoice()
	switch {
	case e != nil:
		return e, nil
	case streaming:
		return nil, g.streamNotRunRefusal(req, errNotRun)
	}
	return nil, plainRefusal(req, &outcome{kind: outcomeUnsent}, g.retryDelay(req.service.Name()))
}

// checkQuarantine returns the confinement of the request; nil if it would be sent.
func (d *dryRun) checkQuarantine() *savorypinquarantine.Confinement {
	probe, c := d.gateway.quarantine.Preview(d.subjects())
	switch {
	case c != nil:
		d.answer.Quarantine = &savorypinwhere.Quarantine{Subject: c.Subject.String()}
	case probe:
		d.answer.Quarantine = &savorypinwhere.Quarantine{Probe: true}
	}
	return c
}

// subjects returns what the quarantine may know of the request. A request with a body is left out, as
// its hash is unknown.
func (d *dryRun) subjects() []savorypinfleet.Subject {
	if d.query.BodyBytes == 0 {
		return d.gateway.subjects(d.req)
	}
	if d.gateway.quarantine.Watching() {
		d.note(noteBodyUnknown)
	}
	return d.req.call.PromptParts
}

// mayIsolate reports whether a plain request is sent, given the crashes that it is suspect by.
func (d *dryRun) mayIsolate() bool {
	g := d.gateway
	if d.query.BodyBytes > 0 || !g.quarantine.Watching() {
		return true
	}
	service := d.req.service.Name()
	return g.quarantine.MayIsolate(service, d.req.whole(), func() bool { return g.hasSpareEndpoint(service) })
}

// inTime reports whether a stream is sent, given the forecast of its duration.
func (d *dryRun) inTime() bool {
	g, req := d.gateway, d.req
	needed, left := g.minDuration(req, req.call.LastEvent(), false), req.remaining()
	if needed == 0 {
		return true
	}
	d.answer.Deadline = &savorypinwhere.Deadline{LeftNs: left, NeededNs: needed}
	if needed <= left {
		return true
	}
	d.answer.Deadline.Probe = g.forecast.ProbeDue(req.kind())
	return d.answer.Deadline.Probe
}

// chooseEndpoint returns the endpoint for the first attempt; nil if there is none.
func (d *dryRun) chooseEndpoint() *savorypinfleet.Endpoint {
	return d.gateway.chooseWith(d.req, map[string]bool{}, d.choose, d.mayTake)
}

// choose selects an endpoint and keeps the explanation.
func (d *dryRun) choose(q savorypinpick.Query) *savorypinfleet.Endpoint {
	d.candidates = q.Candidates
	d.chosen = d.gateway.picker.Explain(q)
	return d.chosen.Chosen
}

// mayTake reports whether the limit of an endpoint lets the request pass. One that does so by chance
// counts as it does more often.
func (d *dryRun) mayTake(e *savorypinfleet.Endpoint) bool {
	limits := d.gateway.endpointLimits
	chance := limits.Chance(e.IncarnationHash())
	if chance > 0 && chance < 1 {
		d.note(noteLimitChance)
	}
	if chance >= likelyChance {
		return true
	}
	d.hold(savorypinwhere.Held{Endpoint: e.ID(), Reason: "limit on requests is used up", WaitNs: limits.Wait(e.IncarnationHash())})
	return false
}

// describeChoice describes the endpoints that were compared and those that were not.
func (d *dryRun) describeChoice() {
	a := &d.answer
	a.Candidates, a.Margin, a.Tied = len(d.candidates), d.chosen.Margin, ids(d.chosen.Tied)
	if d.chosen.RandomSample {
		d.note(noteRandomSample)
	}
	slices.SortStableFunc(d.chosen.Compared, func(a, b savorypinpick.Comparison) int { return cmp.Compare(a.Score, b.Score) })
	a.ComparedTotal = len(d.chosen.Compared)
	for _, c := range d.chosen.Compared[:min(a.ComparedTotal, maxListed)] {
		compared := savorypinwhere.Compared{Endpoint: c.Endpoint.ID(), ReservedTokens: c.ReservedTokens, Score: c.Score}
		for _, t := range c.Terms() {
			compared.Terms = append(compared.Terms, savorypinwhere.Term{Name: t.Name, Score: t.Score})
		}
		a.Compared = append(a.Compared, compared)
	}
	d.describeHeld()
}

// describeHeld describes the side of a rollout that the request is on, and the endpoints that are no
// candidates.
func (d *dryRun) describeHeld() {
	a := &d.answer
	service := d.req.service.Name()
	side, version := d.gateway.rollouts.Choose(service)
	if side != savorypinrollout.SideAny {
		a.Rollout = &savorypinwhere.Rollout{Side: string(side), Version: version}
	}
	isCandidate := map[*savorypinfleet.Endpoint]bool{}
	for _, e := range d.candidates {
		isCandidate[e] = true
	}
	for _, e := range d.gateway.view.directory.Load().Service(service) {
		if !isCandidate[e] {
			reason, wait := d.holdOf(e)
			d.hold(savorypinwhere.Held{Endpoint: e.ID(), Reason: reason, WaitNs: wait})
		}
	}
}

// holdOf returns why an endpoint is no candidate, and for how long if that is known.
func (d *dryRun) holdOf(e *savorypinfleet.Endpoint) (reason string, wait time.Duration) {
	if !e.Ready() {
		return "not listed as ready", 0
	}
	if hold, wait := d.gateway.admission.Hold(e); hold != "" {
		return string(hold), wait
	}
	if d.answer.Rollout != nil {
		return "on the other side of the rollout", 0
	}
	return "not listed when the endpoints were compared", 0
}

// hold adds an endpoint that the request doesn't go to.
func (d *dryRun) hold(h savorypinwhere.Held) {
	d.answer.HeldTotal++
	if len(d.answer.Held) < maxListed {
		d.answer.Held = append(d.answer.Held, h)
	}
}

// note adds a note, once.
func (d *dryRun) note(text string) {
	if !slices.Contains(d.answer.Notes, text) {
		d.answer.Notes = append(d.answer.Notes, text)
	}
}

// refuse records a refusal.
func (d *dryRun) refuse(r *refusal) {
	d.answer.Outcome = savorypinwhere.OutcomeRefused
	d.answer.Refusal = &savorypinwhere.Refusal{Reason: r.reason, RetryAfterNs: r.retryAfter, Status: r.status}
}

// ids returns the IDs of endpoints.
func ids(endpoints []*savorypinfleet.Endpoint) []string {
	var list []string
	for _, e := range endpoints {
		list = append(list, e.ID())
	}
	return list
}

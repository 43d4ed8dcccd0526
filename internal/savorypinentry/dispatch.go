package savorypinentry

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinroute"
)

// admit checks the limits of an organisation for a request of up to maxTokens tokens.
// The caller must release the admission when the request has ended.
func (e *Entry) admit(organisation string, maxTokens int) (*savorypinlimit.Admission, error) {
	return e.limits.admit(organisation, maxTokens)
}

// chooseVersion returns the version for a generation that has not delivered any token
// yet.
func (e *Entry) chooseVersion(gen savorypin.Generation, purpose savorypin.Purpose) string {
	return e.moves.chooseVersion(gen, purpose)
}

// generationRouteRequest returns the request to the router for a generation.
func (e *Entry) generationRouteRequest(
	gen savorypin.Generation,
	version string,
	purpose savorypin.Purpose,
	avoid map[string]bool,
) savorypinroute.Request {
	req := savorypinroute.Request{
		Avoid:       avoid,
		MaxTokens:   gen.MaxTokens,
		Prefixes:    savorypinroute.Prefixes(gen.Prompt),
		PromptBytes: len(gen.Prompt),
		Purpose:     purpose,
		Region:      e.cfg.Settings.Region,
		Service:     gen.Service,
		Version:     version,
	}
	if purpose == savorypin.PurposeFirst {
		req.MaxFirstToken = e.limits.limiter.MaxWait(gen.Organisation, e.cfg.FirstTokenLimit)
	}
	return req
}

// callRouteRequest returns the request to the router for a call.
func (e *Entry) callRouteRequest(service string, purpose savorypin.Purpose, avoid map[string]bool) savorypinroute.Request {
	return savorypinroute.Request{
		Avoid:   avoid,
		Purpose: purpose,
		Region:  e.cfg.Settings.Region,
		Service: service,
	}
}

// observe records the result of an attempt or a call as evidence for moves.
func (e *Entry) observe(o savorypin.Observation) {
	if o.Err != nil {
		e.daemon.Logger().Debug("Observed a failure", "endpoint", o.Endpoint, "version", o.Version, "err", o.Err)
	}
	e.moves.observe(o)
}

// pick chooses an endpoint. The work counts as in flight there between the candidate's
// Begin and Done.
func (e *Entry) pick(req savorypinroute.Request) (savorypinroute.Candidate, bool) {
	candidate, err := e.choose(req)
	return candidate, err == nil
}

package savorypinentry

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinroute"
)

// admit asks whether an organisation may begin a request that may take a
// number of tokens. The admission must be released when the request has ended.
func (e *Entry) admit(organisation string, maxTokens int) (*savorypinlimit.Admission, error) {
	return e.limits.admit(organisation, maxTokens)
}

// chooseVersion returns the version for a generation that has delivered
// nothing yet.
func (e *Entry) chooseVersion(gen savorypin.Generation, purpose savorypin.Purpose) string {
	return e.moves.choose(gen, purpose)
}

// generationNeed returns what a generation needs of an endpoint.
func (e *Entry) generationNeed(
	gen savorypin.Generation,
	version string,
	purpose savorypin.Purpose,
	avoid map[string]bool,
) savorypinroute.Need {
	need := savorypinroute.Need{
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
		need.Within = e.limits.limiter.Wait(gen.Organisation, e.cfg.FirstTokenLimit)
	}
	return need
}

// callNeed returns what a call needs of an endpoint.
func (e *Entry) callNeed(service string, purpose savorypin.Purpose, avoid map[string]bool) savorypinroute.Need {
	return savorypinroute.Need{
		Avoid:   avoid,
		Purpose: purpose,
		Region:  e.cfg.Settings.Region,
		Service: service,
	}
}

// observe takes note of what an attempt or a call showed.
func (e *Entry) observe(o savorypin.Observation) {
	if o.Err != nil {
		e.daemon.Logger().Debug("Observed a failure", "endpoint", o.Endpoint, "version", o.Version, "err", o.Err)
	}
	e.moves.observe(o)
}

// pick returns the endpoint for a piece of work, which counts as in flight there
// from the candidate's Begin to its Done.
func (e *Entry) pick(need savorypinroute.Need) (savorypinroute.Candidate, bool) {
	candidate, err := e.choose(need)
	return candidate, err == nil
}

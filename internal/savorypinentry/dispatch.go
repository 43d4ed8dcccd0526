package savorypinentry

import (
	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinroute"
)

// admit asks whether an organisation may begin a request that may take a
// number of tokens. The request must be released when it has ended.
func (e *Entry) admit(_ string, _ int) (release func(), err error) {
	return func() {}, nil
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
	return savorypinroute.Need{
		Avoid:   avoid,
		Purpose: purpose,
		Region:  e.cfg.Settings.Region,
		Service: gen.Service,
		Version: version,
	}
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

// pick returns the endpoint for a piece of work.
func (e *Entry) pick(need savorypinroute.Need) (savorypinroute.Candidate, bool) {
	return savorypinroute.Pick(savorypinroute.Candidates(e.daemon.Members(), need), need)
}

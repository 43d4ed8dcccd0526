package savorypinentry

import (
	"maps"
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinresume"
	"savorypin/internal/savorypinroute"
)

const (
	// bytesPerPromptToken estimates the number of tokens of a prompt.
	bytesPerPromptToken = 4
	// firstTokenBase is how long the first token may take beside prefill.
	firstTokenBase = 1500 * time.Millisecond
	// firstTokenPrefills is how many times its own prefill an attempt may wait.
	firstTokenPrefills = 4
	// firstTokenWaiting is how long the first token may take for each request
	// that waits in the engine for a slot.
	firstTokenWaiting = time.Second
	// resumeHorizon is how much prefill of resumes an endpoint may have ahead.
	resumeHorizon = time.Second
	// suspectFor is how long an endpoint is avoided after its host did not
	// answer. By then the membership knows.
	suspectFor = 3 * time.Second
)

// suspects are the endpoints whose hosts did not answer lately.
type suspects struct {
	mu    sync.Mutex
	until map[string]time.Time
}

func (s *suspects) add(endpoint string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[string]time.Time{}
	}
	s.until[endpoint] = now.Add(suspectFor)
}

// names returns the suspects at a time.
func (s *suspects) names(now time.Time) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := map[string]bool{}
	for name, until := range s.until {
		if until.After(now) {
			names[name] = true
			continue
		}
		delete(s.until, name)
	}
	return names
}

// pickUnsuspected returns an endpoint for a generation. It takes a suspected
// one only if there is no other.
func (e *Entry) pickUnsuspected(
	gen savorypin.Generation,
	version string,
	purpose savorypin.Purpose,
	avoid map[string]bool,
) (savorypinroute.Candidate, bool) {
	all := e.suspects.names(time.Now())
	maps.Copy(all, avoid)
	if c, ok := e.pick(e.generationNeed(gen, version, purpose, all)); ok {
		return c, true
	}
	return e.pick(e.generationNeed(gen, version, purpose, avoid))
}

// placeFirst returns an endpoint for the first attempt of a request whose
// caller waits for the given time. It takes a suspected one only if there is no
// other.
func (e *Entry) placeFirst(req Request, version string, wait time.Duration) (savorypinroute.Candidate, error) {
	suspects := e.suspects.names(time.Now())
	if len(suspects) > 0 {
		need := e.generationNeed(req.Generation, version, req.purpose(), suspects)
		if c, err := e.place(need, wait); err == nil {
			return c, nil
		}
	}
	return e.place(e.generationNeed(req.Generation, version, req.purpose(), nil), wait)
}

// resumesFirst refuses new work of a service while its resumes wait.
func (e *Entry) resumesFirst(service string) error {
	after, refused := e.gate.Refusal(service, e.prefillRate(service))
	if !refused {
		return nil
	}
	return savorypin.Errorf(savorypin.KindNotRun, service, "answers that lost their endpoint go first").WithRetryAfter(after)
}

// prefillRate returns the rate at which the endpoints of a service read
// prompts, in tokens a second, as far as it is this entry's.
func (e *Entry) prefillRate(service string) float64 {
	return e.router.PrefillRate(service) / e.entries()
}

// entries returns the number of live entries, which share the endpoints.
func (e *Entry) entries() float64 {
	return float64(e.router.Entries())
}

// place chooses an endpoint for the next attempt, in its turn.
func (r *Relay) place(purpose savorypin.Purpose) {
	r.mu.Lock()
	tokens := r.prefillTokens(r.machine.Log().Len())
	r.mu.Unlock()
	r.entry.gate.Enter(r.gen.Service, tokens, func(t *savorypinresume.Ticket) bool {
		return r.tryPlace(t, purpose)
	})
}

// tryPlace starts the next attempt if an endpoint has room. It reports false
// if the attempt has to wait.
func (r *Relay) tryPlace(t *savorypinresume.Ticket, purpose savorypin.Purpose) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.machine.End() != nil {
		return true
	}
	if r.machine.Log().Len() == 0 && purpose != savorypin.PurposeHedge {
		r.setVersion(r.entry.chooseVersion(r.gen, purpose))
	}
	avoid := r.machine.Avoid()
	full := false
	entries := r.entry.entries()
	for {
		candidate, ok := r.entry.pickUnsuspected(r.gen, r.version, purpose, avoid)
		if !ok {
			break
		}
		endpoint := candidate.Endpoint()
		if !t.Full(endpoint.Name, endpoint.PrefillPerSecond/entries) {
			if r.startAt(candidate, purpose, t) {
				t.Take(endpoint.Name)
			}
			return true
		}
		full = true
		avoid[endpoint.Name] = true
	}
	if full && purpose != savorypin.PurposeHedge {
		return false
	}
	r.do(r.machine.NotPlaced(time.Now()))
	return true
}

// prefillTokens estimates what an engine has to read before the token with an
// index.
func (r *Relay) prefillTokens(index int) int {
	return len(r.gen.Prompt)/bytesPerPromptToken + index + 1
}

// firstTokenWithin returns how long an attempt may take to its first token
// until it is suspected.
func (r *Relay) firstTokenWithin(c savorypinroute.Candidate, index int) time.Duration {
	within := firstTokenBase + time.Duration(c.Endpoint().Waiting)*firstTokenWaiting
	if rate := c.Endpoint().PrefillPerSecond; rate > 0 {
		prefill := float64(r.prefillTokens(index)) / rate * float64(time.Second)
		within += firstTokenPrefills * time.Duration(prefill)
	}
	return within
}

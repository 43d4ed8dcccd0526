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
	// bytesPerPromptToken is used to estimate the number of tokens of a prompt.
	bytesPerPromptToken = 4
	// firstTokenBase is the time allowed for the first token in addition to prefill
	// and queueing.
	firstTokenBase = 1500 * time.Millisecond
	// firstTokenPrefillFactor is how many times its estimated prefill time an attempt
	// may take to its first token.
	firstTokenPrefillFactor = 4
	// firstTokenPerWaiting is the additional time allowed for the first token for each
	// request that waits in the engine for a slot.
	firstTokenPerWaiting = time.Second
	// maxPrefillBacklog is the maximum prefill time of the resumes that have been placed
	// on an endpoint and wait for their first token.
	maxPrefillBacklog = time.Second
	// suspectDuration is how long an endpoint is avoided after its host did not
	// answer. After that, membership has detected the failure.
	suspectDuration = 3 * time.Second
)

// suspects are the endpoints whose hosts recently did not answer.
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
	s.until[endpoint] = now.Add(suspectDuration)
}

// active returns the names of the endpoints that are suspected at time now.
func (s *suspects) active(now time.Time) map[string]bool {
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

// pickUnsuspected chooses an endpoint for a generation. It chooses a suspected one
// only if there is no other.
func (e *Entry) pickUnsuspected(
	gen savorypin.Generation,
	version string,
	purpose savorypin.Purpose,
	avoid map[string]bool,
) (savorypinroute.Candidate, bool) {
	avoidAll := e.suspects.active(time.Now())
	maps.Copy(avoidAll, avoid)
	if c, ok := e.pick(e.generationRouteRequest(gen, version, purpose, avoidAll)); ok {
		return c, true
	}
	return e.pick(e.generationRouteRequest(gen, version, purpose, avoid))
}

// placeFirst chooses the endpoint for the first attempt of a request whose caller
// waits for the given time. It chooses a suspected one only if there is no other.
func (e *Entry) placeFirst(req Request, version string, wait time.Duration) (savorypinroute.Candidate, error) {
	suspected := e.suspects.active(time.Now())
	if len(suspected) > 0 {
		routeReq := e.generationRouteRequest(req.Generation, version, req.purpose(), suspected)
		if c, err := e.place(routeReq, wait); err == nil {
			return c, nil
		}
	}
	return e.place(e.generationRouteRequest(req.Generation, version, req.purpose(), nil), wait)
}

// checkWaitingResumes returns an error for new work of a service while resumes of the
// service are waiting.
func (e *Entry) checkWaitingResumes(service string) error {
	after, refused := e.resumeQueue.Refusal(service, e.prefillRate(service))
	if !refused {
		return nil
	}
	return savorypin.Errorf(savorypin.KindNotRun, service, "answers that lost their endpoint go first").WithRetryAfter(after)
}

// prefillRate returns this entry's part of the rate at which the endpoints of a
// service process prompts, in tokens a second.
func (e *Entry) prefillRate(service string) float64 {
	return e.router.PrefillRate(service) / e.liveEntries()
}

// liveEntries returns the number of live entries, among which the capacity of the
// endpoints is divided.
func (e *Entry) liveEntries() float64 {
	return float64(e.router.Entries())
}

// placeNext queues the next attempt until an endpoint has capacity for it.
func (r *Relay) placeNext(purpose savorypin.Purpose) {
	r.mu.Lock()
	tokens := r.prefillTokens(r.machine.Log().Len())
	r.mu.Unlock()
	r.entry.resumeQueue.Enqueue(r.gen.Service, tokens, func(queued *savorypinresume.QueuedResume) bool {
		return r.tryPlace(queued, purpose)
	})
}

// tryPlace starts the next attempt if an endpoint has capacity. It returns false if
// the attempt has to wait.
func (r *Relay) tryPlace(queued *savorypinresume.QueuedResume, purpose savorypin.Purpose) bool {
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
	entries := r.entry.liveEntries()
	for {
		candidate, ok := r.entry.pickUnsuspected(r.gen, r.version, purpose, avoid)
		if !ok {
			break
		}
		endpoint := candidate.Endpoint()
		if !queued.IsFull(endpoint.Name, endpoint.PrefillPerSecond/entries) {
			if r.startAt(candidate, purpose, queued) {
				queued.Assign(endpoint.Name)
			}
			return true
		}
		full = true
		avoid[endpoint.Name] = true
	}
	if full && purpose != savorypin.PurposeHedge {
		return false
	}
	r.apply(r.machine.PlacementFailed(time.Now()))
	return true
}

// prefillTokens estimates how many tokens an engine has to process before it produces
// the token with the given index.
func (r *Relay) prefillTokens(index int) int {
	return len(r.gen.Prompt)/bytesPerPromptToken + index + 1
}

// firstTokenTimeout returns how long an attempt may take to its first token before it
// is suspected to have failed.
func (r *Relay) firstTokenTimeout(c savorypinroute.Candidate, index int) time.Duration {
	timeout := firstTokenBase + time.Duration(c.Endpoint().Waiting)*firstTokenPerWaiting
	if rate := c.Endpoint().PrefillPerSecond; rate > 0 {
		prefill := float64(r.prefillTokens(index)) / rate * float64(time.Second)
		timeout += firstTokenPrefillFactor * time.Duration(prefill)
	}
	return timeout
}

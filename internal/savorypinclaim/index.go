package savorypinclaim

// keyState is the state of a key in an index.
type keyState struct {
	// answer is set only while the settlement of the key is pending.
	answer *Answer
	// attempt is nil if the outcome is done or closed.
	attempt *Attempt
	outcome Outcome
	request uint64
	segment uint64
}

// Index is the state of the keys of a shard that results from its segments, and
// from settlements that are pending, that is, not durable yet. It depends on
// nothing but its method calls. It is not safe for concurrent use.
type Index struct {
	entries map[KeyID]keyState
	pending map[KeyID]Settlement
	// recent holds the keys that were written since the previous page.
	recent []KeyID
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{entries: map[KeyID]keyState{}, pending: map[KeyID]Settlement{}}
}

// Len returns the number of keys.
func (x *Index) Len() int {
	return len(x.entries)
}

// Plan decides claims in order and returns the verdicts and the claims that have
// to be committed. The verdicts hold once these claims are durable in the given
// segment. At most freeKeys new keys are accepted.
func (x *Index) Plan(segment uint64, claims []Claim, freeKeys int) ([]Verdict, []Claim) {
	planned := map[KeyID]keyState{}
	verdicts := make([]Verdict, 0, len(claims))
	var commit []Claim
	for _, c := range claims {
		state, ok := planned[c.Key]
		if !ok {
			state, ok = x.lookup(c.Key)
		}
		verdict := decide(state, ok, c)
		if verdict.Kind == VerdictGranted && verdict.Segment == 0 {
			if !ok && freeKeys <= 0 {
				verdicts = append(verdicts, Verdict{Kind: VerdictFull})
				continue
			}
			if !ok {
				freeKeys--
			}
			verdict.Segment = segment
			planned[c.Key] = newKeyState(c, segment)
			commit = append(commit, c)
		}
		verdicts = append(verdicts, verdict)
	}
	return verdicts, commit
}

// decide returns the verdict on a claim, given the state of its key. If the
// verdict is granted without a segment, the claim has to be committed first.
func decide(state keyState, exists bool, c Claim) Verdict {
	granted := Verdict{Attempt: c.Attempt, Kind: VerdictGranted, Outcome: outcomeOf(c)}
	if !exists {
		return granted
	}
	verdict := state.verdict()
	switch {
	case state.outcome == OutcomeClosed:
		return verdict
	case !c.Close && state.request != c.Request:
		return Verdict{Kind: VerdictMismatch}
	case state.attempt == nil:
		return verdict
	case state.attempt.ID == c.Attempt.ID && !c.Close:
		if state.outcome == OutcomeClaimed {
			verdict.Kind = VerdictGranted
		}
		return verdict
	case state.outcome == OutcomeNotRun || state.attempt.ID == c.Supersedes:
		return granted
	default:
		return verdict
	}
}

func (k keyState) verdict() Verdict {
	v := Verdict{Answer: k.answer, Kind: VerdictTaken, Outcome: k.outcome, Segment: k.segment}
	if k.attempt != nil {
		v.Attempt = *k.attempt
	}
	return v
}

func newKeyState(c Claim, segment uint64) keyState {
	k := keyState{outcome: outcomeOf(c), request: c.Request, segment: segment}
	if !c.Close {
		k.attempt = &c.Attempt
	}
	return k
}

func outcomeOf(c Claim) Outcome {
	if c.Close {
		return OutcomeClosed
	}
	return OutcomeClaimed
}

// AddPending adds a settlement that is not durable yet. It returns false if the
// attempt does not hold its key or if the settlement does not change the outcome.
func (x *Index) AddPending(s Settlement) bool {
	state, ok := x.lookup(s.Key)
	if !ok || !state.accepts(s) {
		return false
	}
	x.pending[s.Key] = s
	return true
}

// DropPending drops the pending settlement of a key.
func (x *Index) DropPending(key KeyID) {
	delete(x.pending, key)
}

// FilterNew returns the settlements that change the durable state.
func (x *Index) FilterNew(settlements []Settlement) []Settlement {
	var added []Settlement
	for _, s := range settlements {
		if state, ok := x.entries[s.Key]; ok && state.accepts(s) {
			added = append(added, s)
		}
	}
	return added
}

// Lookup returns the verdict on a key, pending settlements included. It returns
// false if the key is not in the index.
func (x *Index) Lookup(key KeyID) (Verdict, bool) {
	state, ok := x.lookup(key)
	return state.verdict(), ok
}

func (x *Index) lookup(key KeyID) (keyState, bool) {
	state, ok := x.entries[key]
	if s, isPending := x.pending[key]; isPending && state.accepts(s) {
		state = state.withSettlement(s)
	}
	return state, ok
}

// accepts reports whether a settlement changes the outcome of a key. Claimed and
// unknown may still change; the other outcomes are final.
func (k keyState) accepts(s Settlement) bool {
	if k.attempt == nil || k.attempt.ID != s.Attempt || k.outcome == s.Outcome {
		return false
	}
	return k.outcome == OutcomeClaimed || k.outcome == OutcomeUnknown
}

func (k keyState) withSettlement(s Settlement) keyState {
	k.outcome = s.Outcome
	if s.Outcome == OutcomeDone {
		k.answer = s.Answer
		k.attempt = nil
	}
	return k
}

// Apply applies a durable segment: first its settlements, then its claims.
func (x *Index) Apply(s Segment) {
	for _, settlement := range s.Settlements {
		x.applySettlement(settlement, s.Number)
	}
	for _, c := range s.Claims {
		delete(x.pending, c.Key)
		x.put(c.Key, newKeyState(c, s.Number))
	}
}

func (x *Index) applySettlement(s Settlement, segment uint64) {
	state, ok := x.entries[s.Key]
	if !ok || !state.accepts(s) {
		return
	}
	state = state.withSettlement(s)
	state.answer = nil
	state.segment = segment
	x.put(s.Key, state)
	if pending, ok := x.pending[s.Key]; ok && pending.Outcome == s.Outcome {
		delete(x.pending, s.Key)
	}
}

// ApplyPage sets the keys of a page to the states in its entries.
func (x *Index) ApplyPage(p Page) {
	for _, e := range p.Entries {
		x.entries[e.Key] = keyState{attempt: e.Attempt, outcome: e.Outcome, request: e.Request, segment: e.Segment}
	}
}

// ClosePage returns the page that summarizes the segments from first to last,
// which are all segments since the previous page.
func (x *Index) ClosePage(first, last uint64) Page {
	p := Page{}
	seen := map[KeyID]bool{}
	for _, key := range x.recent {
		state, ok := x.entries[key]
		if !ok || seen[key] || state.segment < first || state.segment > last {
			continue
		}
		seen[key] = true
		p.Entries = append(p.Entries, PageEntry{
			Attempt: state.attempt,
			Key:     key,
			Outcome: state.outcome,
			Request: state.request,
			Segment: state.segment,
		})
	}
	x.recent = nil
	return p
}

// Expire removes the keys that are mentioned in no segment from first on.
func (x *Index) Expire(first uint64) {
	for key, state := range x.entries {
		if state.segment < first {
			delete(x.entries, key)
			delete(x.pending, key)
		}
	}
}

func (x *Index) put(key KeyID, state keyState) {
	x.entries[key] = state
	x.recent = append(x.recent, key)
}

package savorypinclaim

// entry is what an index holds of a key.
type entry struct {
	// answer is set only while the outcome is learned and not durable.
	answer *Answer
	// attempt is nil once the outcome is final.
	attempt *Attempt
	outcome Outcome
	request uint64
	segment uint64
}

// Index is the state that the segments of a shard add up to. It is pure: its
// state depends on nothing but what was applied. It is not safe for concurrent
// use.
type Index struct {
	entries map[KeyID]entry
	learned map[KeyID]Settlement
	// recent are the keys of the page that is not closed yet.
	recent []KeyID
}

// NewIndex returns an empty index.
func NewIndex() *Index {
	return &Index{entries: map[KeyID]entry{}, learned: map[KeyID]Settlement{}}
}

// Len returns the number of keys.
func (x *Index) Len() int {
	return len(x.entries)
}

// Plan decides claims against the index, each after those before it, and
// returns the claims that have to be committed. The verdicts hold once these
// are durable in the given segment. There is room for a number of new keys.
func (x *Index) Plan(segment uint64, claims []Claim, room int) ([]Verdict, []Claim) {
	planned := map[KeyID]entry{}
	verdicts := make([]Verdict, 0, len(claims))
	var commit []Claim
	for _, c := range claims {
		held, ok := planned[c.Key]
		if !ok {
			held, ok = x.lookup(c.Key)
		}
		verdict := decide(held, ok, c)
		if verdict.Kind == VerdictGranted && verdict.Segment == 0 {
			if !ok && room <= 0 {
				verdicts = append(verdicts, Verdict{Kind: VerdictFull})
				continue
			}
			if !ok {
				room--
			}
			verdict.Segment = segment
			planned[c.Key] = entryOf(c, segment)
			commit = append(commit, c)
		}
		verdicts = append(verdicts, verdict)
	}
	return verdicts, commit
}

// decide answers a claim of a key. A granted verdict without a segment has to
// be committed first.
func decide(held entry, ok bool, c Claim) Verdict {
	granted := Verdict{Attempt: c.Attempt, Kind: VerdictGranted, Outcome: outcomeOf(c)}
	if !ok {
		return granted
	}
	verdict := held.verdict()
	switch {
	case held.outcome == OutcomeClosed:
		return verdict
	case !c.Close && held.request != c.Request:
		return Verdict{Kind: VerdictMismatch}
	case held.attempt == nil:
		return verdict
	case held.attempt.ID == c.Attempt.ID && !c.Close:
		if held.outcome == OutcomeClaimed {
			verdict.Kind = VerdictGranted
		}
		return verdict
	case held.outcome == OutcomeNotRun || held.attempt.ID == c.Supersedes:
		return granted
	default:
		return verdict
	}
}

func (e entry) verdict() Verdict {
	v := Verdict{Answer: e.answer, Kind: VerdictTaken, Outcome: e.outcome, Segment: e.segment}
	if e.attempt != nil {
		v.Attempt = *e.attempt
	}
	return v
}

func entryOf(c Claim, segment uint64) entry {
	e := entry{outcome: outcomeOf(c), request: c.Request, segment: segment}
	if !c.Close {
		e.attempt = &c.Attempt
	}
	return e
}

func outcomeOf(c Claim) Outcome {
	if c.Close {
		return OutcomeClosed
	}
	return OutcomeClaimed
}

// Learn takes note of the outcome of an attempt before it is durable. It
// reports false if the attempt does not hold its key or if as much is known.
func (x *Index) Learn(s Settlement) bool {
	held, ok := x.lookup(s.Key)
	if !ok || !held.awaits(s) {
		return false
	}
	x.learned[s.Key] = s
	return true
}

// Forget drops what was learned of a key and could not be made durable.
func (x *Index) Forget(key KeyID) {
	delete(x.learned, key)
}

// News returns the settlements that add to what is durable.
func (x *Index) News(settlements []Settlement) []Settlement {
	var news []Settlement
	for _, s := range settlements {
		if held, ok := x.entries[s.Key]; ok && held.awaits(s) {
			news = append(news, s)
		}
	}
	return news
}

// Lookup returns what is known of a key.
func (x *Index) Lookup(key KeyID) (Verdict, bool) {
	held, ok := x.lookup(key)
	return held.verdict(), ok
}

func (x *Index) lookup(key KeyID) (entry, bool) {
	held, ok := x.entries[key]
	if s, learned := x.learned[key]; learned && held.awaits(s) {
		held = held.settled(s)
	}
	return held, ok
}

// awaits reports whether a settlement adds to what is known of a key. What is
// unknown may become known; done and not run are final.
func (e entry) awaits(s Settlement) bool {
	if e.attempt == nil || e.attempt.ID != s.Attempt || e.outcome == s.Outcome {
		return false
	}
	return e.outcome == OutcomeClaimed || e.outcome == OutcomeUnknown
}

func (e entry) settled(s Settlement) entry {
	e.outcome = s.Outcome
	if s.Outcome == OutcomeDone {
		e.answer = s.Answer
		e.attempt = nil
	}
	return e
}

// Apply takes over a durable segment.
func (x *Index) Apply(s Segment) {
	for _, settlement := range s.Settlements {
		x.applySettlement(settlement, s.Number)
	}
	for _, c := range s.Claims {
		delete(x.learned, c.Key)
		x.put(c.Key, entryOf(c, s.Number))
	}
}

func (x *Index) applySettlement(s Settlement, segment uint64) {
	held, ok := x.entries[s.Key]
	if !ok || !held.awaits(s) {
		return
	}
	held = held.settled(s)
	held.answer = nil
	held.segment = segment
	x.put(s.Key, held)
	if learned, ok := x.learned[s.Key]; ok && learned.Outcome == s.Outcome {
		delete(x.learned, s.Key)
	}
}

// ApplyPage takes over a page.
func (x *Index) ApplyPage(p Page) {
	for _, e := range p.Entries {
		x.entries[e.Key] = entry{attempt: e.Attempt, outcome: e.Outcome, request: e.Request, segment: e.Segment}
	}
}

// ClosePage returns the page of the segments since the last page, up to last.
func (x *Index) ClosePage(first, last uint64) Page {
	p := Page{}
	seen := map[KeyID]bool{}
	for _, key := range x.recent {
		held, ok := x.entries[key]
		if !ok || seen[key] || held.segment < first || held.segment > last {
			continue
		}
		seen[key] = true
		p.Entries = append(p.Entries, PageEntry{
			Attempt: held.attempt,
			Key:     key,
			Outcome: held.outcome,
			Request: held.request,
			Segment: held.segment,
		})
	}
	x.recent = nil
	return p
}

// Expire forgets the keys that no segment from first on tells of.
func (x *Index) Expire(first uint64) {
	for key, held := range x.entries {
		if held.segment < first {
			delete(x.entries, key)
			delete(x.learned, key)
		}
	}
}

func (x *Index) put(key KeyID, e entry) {
	x.entries[key] = e
	x.recent = append(x.recent, key)
}

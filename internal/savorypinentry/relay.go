package savorypinentry

import (
	"sync"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinlimit"
	"savorypin/internal/savorypinresume"
)

// relayRetention is how long a relay is kept after its generation has ended and its
// last reader has closed.
const relayRetention = 30 * time.Second

// Request is a request to generate an answer.
type Request struct {
	// Delivered are tokens that the caller already has from a generation that was
	// lost; the answer continues after them.
	Delivered []savorypin.Token
	// Generation is what to generate; its id is set by Start.
	Generation savorypin.Generation
	// Timeout is how long the caller waits; zero if the caller states none.
	Timeout time.Duration
	// Version is the version that produced the delivered tokens; empty if there
	// are none.
	Version string
}

// purpose returns the purpose of the first attempt.
func (r Request) purpose() savorypin.Purpose {
	if len(r.Delivered) > 0 {
		return savorypin.PurposeResume
	}
	return savorypin.PurposeFirst
}

// End is how a generation ended.
type End = savorypinresume.End

// Relay relays one generation from endpoints to readers. Its state machine makes the
// decisions; the relay carries them out.
type Relay struct {
	// admission is released when the generation has ended; nil if another entry
	// admitted the generation.
	admission *savorypinlimit.Admission
	deadline  time.Time
	entry     *Entry
	gen       savorypin.Generation
	// initialTokens is the number of tokens that the caller already had at the start.
	initialTokens int

	mu       sync.Mutex
	lastUsed time.Time
	// stopping are failed attempts whose agents are stopping and wait until the
	// generation continues elsewhere.
	stopping []*stream
	machine  *savorypinresume.Machine
	// model is the version's model name on the engines.
	model   string
	readers map[*Reader]bool
	// reserved is the memory reserved for the answer, in bytes, released when the
	// relay is forgotten.
	reserved int
	streams  map[savorypin.AttemptID]*stream
	timer    *time.Timer
	timerAt  time.Time
	version  string
}

// Start begins a generation.
func (e *Entry) Start(req Request) (*Relay, error) {
	r, err := e.start(req)
	if err != nil {
		e.refusals.Record(req.Generation.Organisation, err, time.Now())
	}
	return r, err
}

func (e *Entry) start(req Request) (*Relay, error) {
	spec, ok := e.daemon.Config().Service(req.Generation.Service)
	if !ok || spec.Type != savorypin.ServiceGeneration {
		return nil, savorypin.Errorf(savorypin.KindNotFound, req.Generation.Service, "no such generating service")
	}
	if !e.daemon.Ready() {
		return nil, savorypin.Errorf(savorypin.KindNotRun, e.cfg.Settings.Name, "entry is not ready").WithRetryAfter(time.Second)
	}
	version, err := e.initialVersion(req)
	if err != nil {
		return nil, err
	}
	admission, err := e.admitGeneration(req)
	if err != nil {
		return nil, err
	}
	candidate, err := e.placeFirst(req, version, requestTimeout(req.Timeout, spec))
	if err != nil {
		admission.Cancel()
		e.memory.Release(savorypinresume.Size(req.Generation))
		return nil, err
	}
	req.Generation.ID = savorypin.NewGenerationID(candidate.Member().Name)
	req.Generation.Priority = spec.Priority
	r := e.newRelay(relayConfig{
		admission: admission,
		deadline:  time.Now().Add(requestTimeout(req.Timeout, spec)),
		gen:       req.Generation,
		policy:    spec.Resume,
		term:      savorypin.NextTerm(0),
		version:   version,
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.setVersion(version)
	r.initialTokens = len(req.Delivered)
	r.machine.Log().Restore(nil, req.Delivered)
	r.machine.Begin()
	r.startAt(candidate, req.purpose(), nil)
	return r, nil
}

// initialVersion returns the version of a new generation. A generation that continues
// after delivered tokens keeps the version that produced them.
func (e *Entry) initialVersion(req Request) (string, error) {
	if len(req.Delivered) == 0 {
		if err := e.checkWaitingResumes(req.Generation.Service); err != nil {
			return "", err
		}
		return e.chooseVersion(req.Generation, savorypin.PurposeFirst), nil
	}
	spec, ok := e.daemon.Config().Version(req.Version)
	if !ok || spec.Service != req.Generation.Service {
		return "", savorypin.Errorf(savorypin.KindInvalid, req.Version, "is no version of service %s", req.Generation.Service)
	}
	if len(req.Delivered) > req.Generation.MaxTokens {
		return "", savorypin.Errorf(savorypin.KindInvalid, req.Generation.Service,
			"%d delivered tokens are more than the largest number, %d", len(req.Delivered), req.Generation.MaxTokens)
	}
	return req.Version, nil
}

// admitGeneration admits a generation and reserves the memory of its answer.
func (e *Entry) admitGeneration(req Request) (*savorypinlimit.Admission, error) {
	admission, err := e.admit(req.Generation.Organisation, req.Generation.MaxTokens-len(req.Delivered))
	if err != nil {
		return nil, err
	}
	if err := e.memory.Reserve(req.purpose(), savorypinresume.Size(req.Generation)); err != nil {
		admission.Cancel()
		return nil, err
	}
	return admission, nil
}

// relayConfig configures a Relay.
type relayConfig struct {
	admission *savorypinlimit.Admission
	deadline  time.Time
	gen       savorypin.Generation
	// lastAttempt is the number of the last attempt before this relay; zero if there
	// is none.
	lastAttempt int
	policy      savorypin.ResumePolicy
	term        uint64
	version     string
}

// newRelay registers and returns a relay that has not started an attempt.
func (e *Entry) newRelay(cfg relayConfig) *Relay {
	r := &Relay{
		admission: cfg.admission,
		deadline:  cfg.deadline,
		entry:     e,
		gen:       cfg.gen,
		lastUsed:  time.Now(),
		readers:   map[*Reader]bool{},
		reserved:  savorypinresume.Size(cfg.gen),
		streams:   map[savorypin.AttemptID]*stream{},
		version:   cfg.version,
	}
	r.machine = savorypinresume.NewMachine(savorypinresume.MachineConfig{
		Deadline:   cfg.deadline,
		Limits:     savorypinresume.DefaultLimits(),
		LastNumber: cfg.lastAttempt,
		Object:     string(cfg.gen.ID),
		Policy:     cfg.policy,
		IsSilent:   r.connUnresponsive,
		Term:       cfg.term,
	})
	e.mu.Lock()
	defer e.mu.Unlock()
	old, ok := e.relays[cfg.gen.ID]
	e.relays[cfg.gen.ID] = r
	if ok {
		go old.releaseMemory()
	}
	return r
}

// Cancel cancels the generation.
func (r *Relay) Cancel() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply(r.machine.Cancel())
}

// Generation returns the generation that is relayed.
func (r *Relay) Generation() savorypin.Generation {
	return r.gen
}

// Version returns the version that produces the answer.
func (r *Relay) Version() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// setVersion sets the version that produces the answer. It also keeps the version's
// model, so that the generation can be resumed after the version has been removed from
// the configuration. The caller holds r.mu.
func (r *Relay) setVersion(version string) {
	spec, _ := r.entry.daemon.Config().Version(version)
	r.model = spec.Model
	r.version = version
}

// Attempts returns the number of attempts started so far.
func (r *Relay) Attempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.Attempts()
}

// tick runs the actions of the state machine that are due.
func (r *Relay) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timerAt = time.Time{}
	r.apply(r.machine.Tick(time.Now()))
}

// armTimer schedules tick for the machine's next wake-up time, unless it is already
// scheduled earlier. The caller holds r.mu.
func (r *Relay) armTimer() {
	if r.machine.End() != nil {
		return
	}
	wake := r.machine.NextTick()
	if !r.timerAt.IsZero() && !wake.Before(r.timerAt) {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timerAt = wake
	r.timer = time.AfterFunc(max(time.Until(wake), 0), r.tick)
}

// notifyReaders wakes up all waiting readers. The caller holds r.mu.
func (r *Relay) notifyReaders() {
	for reader := range r.readers {
		select {
		case reader.changed <- struct{}{}:
		default:
		}
	}
}

// finish releases what an ended generation no longer needs. The memory of the answer
// is kept for readers that attach again. The caller holds r.mu.
func (r *Relay) finish() {
	if r.timer != nil {
		r.timer.Stop()
	}
	for _, s := range r.streams {
		s.candidate.Done(nil)
		s.cancel(errReplaced)
	}
	clear(r.streams)
	if unused := r.reserved - r.machine.Log().Bytes() - len(r.gen.Prompt); unused > 0 {
		r.entry.memory.Release(unused)
		r.reserved -= unused
	}
	if r.admission != nil {
		r.admission.Release(r.machine.Log().Len() - r.initialTokens)
	}
	r.lastUsed = time.Now()
	r.notifyReaders()
}

// releaseMemory releases the memory of the answer.
func (r *Relay) releaseMemory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entry.memory.Release(r.reserved)
	r.reserved = 0
}

// sweep cancels the generation if it has had no reader for longer than the grace
// period, and reports whether the relay can be forgotten.
func (r *Relay) sweep(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.readers) > 0 {
		return false
	}
	if r.machine.End() != nil {
		return now.Sub(r.lastUsed) > relayRetention
	}
	if now.Sub(r.lastUsed) > r.entry.cfg.Settings.Grace() {
		r.entry.count("resume.abandoned", 1)
		r.apply(r.machine.Cancel())
	}
	return false
}

// idle reports whether the generation has ended and has no readers.
func (r *Relay) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.machine.End() != nil && len(r.readers) == 0
}

// RelayState is the state of one generation in the state dump.
type RelayState struct {
	Attempts  int                    `json:"attempts"`
	Delivered int                    `json:"delivered"`
	Finished  bool                   `json:"finished"`
	ID        savorypin.GenerationID `json:"id"`
	Readers   int                    `json:"readers"`
	Service   string                 `json:"service"`
	Version   string                 `json:"version"`
}

func (r *Relay) state() RelayState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RelayState{
		Attempts:  r.machine.Attempts(),
		Delivered: r.machine.Log().Len(),
		Finished:  r.machine.End() != nil,
		ID:        r.gen.ID,
		Readers:   len(r.readers),
		Service:   r.gen.Service,
		Version:   r.version,
	}
}

package savorypinstandin

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// ChecksFence makes the engine refuse orders with an old fencing number.
	ChecksFence bool
	// LoadTime is how long it takes to load a model.
	LoadTime time.Duration
	// Models are the models that are loaded at the start.
	Models []string
	// PrefillPerSecond is the rate of reading a prompt that is not cached.
	PrefillPerSecond float64
	// Slots is the number of requests that run at once.
	Slots int
	// TokensPerSecond is the decoding rate of one request.
	TokensPerSecond float64
}

// Engine is a stand-in of a model engine with an OpenAI-compatible API. The
// next token is a function of the model, the seed and all tokens before it, so
// that a resumed answer equals an uninterrupted one on the same model only.
type Engine struct {
	cfg EngineConfig

	mu          sync.Mutex
	cached      map[uint64]bool
	computed    int
	dead        bool
	deadOnce    chan struct{}
	failRatio   float64
	faults      func(model string, prompt []int32, running int) Fault
	fence       int64
	models      []string
	orders      []string
	prefilled   int
	requests    int
	requestsFor map[string]int
	running     int
	slots       chan struct{}
	slow        map[string]float64
	stalled     bool
	waiting     int
}

// NewEngine returns an engine.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:         cfg,
		cached:      map[uint64]bool{},
		deadOnce:    make(chan struct{}),
		faults:      func(string, []int32, int) Fault { return Fault{} },
		models:      slices.Clone(cfg.Models),
		slots:       make(chan struct{}, cfg.Slots),
		requestsFor: map[string]int{},
		slow:        map[string]float64{},
	}
}

// Computed returns the numbers of tokens decoded and prefilled so far.
func (e *Engine) Computed() (decoded, prefilled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.computed, e.prefilled
}

// Kill breaks all connections and refuses new requests.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.dead {
		e.dead = true
		close(e.deadOnce)
	}
}

// Orders returns the orders carried out, as action, model and fencing number.
func (e *Engine) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Requests returns the number of completions asked for and the number running.
func (e *Engine) Requests() (total, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests, e.running
}

// Stall stops or continues all output without breaking connections.
func (e *Engine) Stall(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = stalled
}

// completion is the part of an OpenAI-compatible completion request that the
// stand-in understands.
type completion struct {
	MaxTokens   int             `json:"max_tokens"`
	Model       string          `json:"model"`
	Priority    int             `json:"priority"`
	Prompt      json.RawMessage `json:"prompt"`
	Seed        int64           `json:"seed"`
	Temperature float64         `json:"temperature"`

	slow float64
}

// ServeHTTP serves completions, tokenization, models, orders, metrics and the
// switches of the stand-in under /standin/.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		e.serveSwitch(w, r)
		return
	}
	e.mu.Lock()
	dead := e.dead
	e.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/metrics":
		e.serveMetrics(w)
	case "/tokenize":
		e.serveTokenize(w, r)
	case "/v1/completions":
		e.serveCompletion(w, r)
	case "/v1/models":
		e.serveModels(w)
	case "/v1/orders":
		e.serveOrder(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveSwitch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var value float64
	fmt.Sscan(query.Get("value"), &value) //nolint:errcheck // A missing value means 0.
	switch strings.TrimPrefix(r.URL.Path, "/standin/") {
	case "fail":
		e.Fail(value)
	case "kill":
		e.Kill()
	case "slow":
		e.Slow(query.Get("model"), value)
	case "stall":
		e.Stall(query.Get("on") == "true")
	default:
		http.NotFound(w, r)
	}
}

func (e *Engine) serveMetrics(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(w, "vllm:num_requests_running %d\n", e.running)
	fmt.Fprintf(w, "vllm:num_requests_waiting %d\n", e.waiting)
}

func (e *Engine) serveModels(w http.ResponseWriter) {
	type model struct {
		ID string `json:"id"`
	}
	e.mu.Lock()
	var models []model
	for _, id := range e.models {
		models = append(models, model{ID: id})
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"data": models, "object": "list"})
}

func (e *Engine) serveTokenize(w http.ResponseWriter, r *http.Request) {
	var req struct {
		Prompt string `json:"prompt"`
	}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"tokens": Tokenize(req.Prompt)})
}

// Order is an order to an engine.
type Order struct {
	// Action is load or unload.
	Action string `json:"action"`
	// Fence is the fencing number.
	Fence int64 `json:"fence"`
	// Model is the model that the order is about.
	Model string `json:"model"`
	// Name makes the order idempotent.
	Name string `json:"name"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.cfg.ChecksFence && order.Fence < e.fence {
		e.mu.Unlock()
		http.Error(w, "old fencing number", http.StatusPreconditionFailed)
		return
	}
	e.fence = max(e.fence, order.Fence)
	e.orders = append(e.orders, fmt.Sprintf("%s %s %d", order.Action, order.Model, order.Fence))
	e.mu.Unlock()
	if order.Action == "load" {
		e.sleep(r.Context(), e.cfg.LoadTime)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == order.Model })
	if order.Action == "load" {
		e.models = append(e.models, order.Model)
	}
	writeJSON(w, http.StatusOK, map[string]any{"models": e.models})
}

func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var req completion
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	prompt, err := promptTokens(req.Prompt)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault := e.faultOf(req.Model, prompt)
	req.slow = fault.Slow
	if status := e.admit(req.Model, fault); status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if !e.acquire(r.Context()) {
		return
	}
	defer e.release()
	e.prefill(r.Context(), prompt)
	w.Header().Set("Content-Type", "text/event-stream")
	e.decode(w, r, req, prompt)
}

// admit counts a request and returns the status that it begins with.
func (e *Engine) admit(model string, fault Fault) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	e.requestsFor[model]++
	if fault.Fails {
		return http.StatusInternalServerError
	}
	if !slices.Contains(e.models, model) {
		return http.StatusNotFound
	}
	// The failing requests are spread evenly, so that tests are repeatable.
	n := float64(e.requests)
	if int(n*e.failRatio) != int((n-1)*e.failRatio) {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

func (e *Engine) acquire(ctx context.Context) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	ok := false
	select {
	case e.slots <- struct{}{}:
		ok = true
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	if ok {
		e.running++
	}
	return ok
}

func (e *Engine) release() {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// prefill takes the time that it takes to read what is not cached.
func (e *Engine) prefill(ctx context.Context, prompt []int32) {
	const blockTokens = 16
	e.mu.Lock()
	missing := 0
	digest := xxhash.New()
	for i, id := range prompt {
		writeToken(digest, id)
		if (i+1)%blockTokens != 0 {
			continue
		}
		if sum := digest.Sum64(); !e.cached[sum] {
			e.cached[sum] = true
			missing += blockTokens
		}
	}
	missing += len(prompt) % blockTokens
	e.prefilled += missing
	e.mu.Unlock()
	e.sleep(ctx, time.Duration(float64(missing)/e.cfg.PrefillPerSecond*float64(time.Second)))
}

func (e *Engine) decode(w http.ResponseWriter, r *http.Request, req completion, prompt []int32) {
	controller := http.NewResponseController(w)
	for i := range req.MaxTokens {
		if !e.pace(r.Context(), req) {
			if r.Context().Err() == nil {
				panic(http.ErrAbortHandler)
			}
			return
		}
		id := NextToken(req.Model, req.Seed, prompt)
		prompt = append(prompt, id)
		reason := "null"
		if i == req.MaxTokens-1 {
			reason = `"length"`
		}
		fmt.Fprintf(w, `data: {"choices":[{"index":0,"text":"w%d ","token_ids":[%d],"finish_reason":%s}]}`+"\n\n", id, id, reason)
		if err := controller.Flush(); err != nil {
			return
		}
		e.mu.Lock()
		e.computed++
		e.mu.Unlock()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// pace waits until the next token is due and reports whether it will come.
func (e *Engine) pace(ctx context.Context, req completion) bool {
	e.mu.Lock()
	factor := max(e.slow[req.Model], req.slow, 1)
	e.mu.Unlock()
	if !e.sleep(ctx, time.Duration(factor/e.cfg.TokensPerSecond*float64(time.Second))) {
		return false
	}
	const stallCheck = 5 * time.Millisecond
	for {
		e.mu.Lock()
		stalled := e.stalled
		e.mu.Unlock()
		if !stalled {
			return true
		}
		if !e.sleep(ctx, stallCheck) {
			return false
		}
	}
}

// sleep waits for d and reports false if the engine or the client dies first.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.deadOnce:
		return false
	case <-ctx.Done():
		return false
	}
}

// NextToken returns the token that a model generates after tokens.
func NextToken(model string, seed int64, tokens []int32) int32 {
	digest := xxhash.New()
	_, _ = digest.WriteString(model)
	_ = binary.Write(digest, binary.LittleEndian, seed)
	for _, id := range tokens {
		writeToken(digest, id)
	}
	const vocabulary = 100_000
	return int32(digest.Sum64() % vocabulary)
}

// Answer returns the token ids of an uninterrupted answer.
func Answer(model string, seed int64, prompt string, n int) []int32 {
	tokens := Tokenize(prompt)
	start := len(tokens)
	for range n {
		tokens = append(tokens, NextToken(model, seed, tokens))
	}
	return tokens[start:]
}

// Tokenize returns the token ids of a text, one a word.
func Tokenize(text string) []int32 {
	const vocabulary = 100_000
	tokens := []int32{}
	for word := range strings.FieldsSeq(text) {
		tokens = append(tokens, int32(xxhash.Sum64String(word)%vocabulary))
	}
	return tokens
}

// promptTokens reads a prompt given as a text or as a list of token ids.
func promptTokens(raw json.RawMessage) ([]int32, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return Tokenize(text), nil
	}
	var ids []int32
	err := json.Unmarshal(raw, &ids)
	return ids, err
}

func writeToken(digest *xxhash.Digest, id int32) {
	var b [4]byte
	binary.LittleEndian.PutUint32(b[:], uint32(id))
	_, _ = digest.Write(b[:])
}

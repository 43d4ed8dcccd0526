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
	// ChecksFence makes the engine reject orders with an old fencing number.
	ChecksFence bool
	// LoadTime is how long it takes to load a model.
	LoadTime time.Duration
	// Models are the models that are loaded at the start.
	Models []string
	// PrefillPerSecond is the number of prompt tokens that are prefilled per second
	// if they are not cached.
	PrefillPerSecond float64
	// Slots is the maximum number of requests that run at once.
	Slots int
	// TokensPerSecond is the number of tokens decoded per second for one request.
	TokensPerSecond float64
}

// Engine is a stand-in for a model engine with an OpenAI-compatible API. The next
// token is a function of the model, the seed and all tokens before it, so a
// resumed answer equals an uninterrupted one only if it ran on the same model.
type Engine struct {
	cfg EngineConfig

	mu           sync.Mutex
	cachedBlocks map[uint64]bool
	decoded      int
	isKilled     bool
	killed       chan struct{}
	failRatio    float64
	faults       func(model string, prompt []int32, running int) Fault
	fence        int64
	models       []string
	orders       []string
	prefilled    int
	requests     int
	requestsFor  map[string]int
	running      int
	slots        chan struct{}
	slowdowns    map[string]float64
	stalled      bool
	waiting      int
}

// NewEngine returns an engine that has cfg.Models loaded and accepts requests.
func NewEngine(cfg EngineConfig) *Engine {
	return &Engine{
		cfg:          cfg,
		cachedBlocks: map[uint64]bool{},
		killed:       make(chan struct{}),
		faults:       func(string, []int32, int) Fault { return Fault{} },
		models:       slices.Clone(cfg.Models),
		slots:        make(chan struct{}, cfg.Slots),
		requestsFor:  map[string]int{},
		slowdowns:    map[string]float64{},
	}
}

// TokenCounts returns the numbers of tokens decoded and prefilled so far.
func (e *Engine) TokenCounts() (decoded, prefilled int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.decoded, e.prefilled
}

// Kill aborts all running requests and the connections of new ones, for good.
func (e *Engine) Kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.isKilled {
		e.isKilled = true
		close(e.killed)
	}
}

// Orders returns the orders accepted so far, each as action, model and fencing
// number.
func (e *Engine) Orders() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Requests returns the number of completion requests received and the number
// running.
func (e *Engine) Requests() (total, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requests, e.running
}

// SetStalled stops or resumes the output of tokens without closing connections.
func (e *Engine) SetStalled(stalled bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalled = stalled
}

// completion is an OpenAI-compatible completion request. Its priority and its
// temperature have no effect on the answer.
type completion struct {
	MaxTokens   int             `json:"max_tokens"`
	Model       string          `json:"model"`
	Priority    int             `json:"priority"`
	Prompt      json.RawMessage `json:"prompt"`
	Seed        int64           `json:"seed"`
	Temperature float64         `json:"temperature"`

	slowdown float64
}

// ServeHTTP serves completions, tokenization, models, orders and metrics, and
// injects faults on requests under /standin/.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		e.serveControl(w, r)
		return
	}
	e.mu.Lock()
	killed := e.isKilled
	e.mu.Unlock()
	if killed {
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

func (e *Engine) serveControl(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	var value float64
	fmt.Sscan(query.Get("value"), &value) //nolint:errcheck // A missing value means 0.
	switch strings.TrimPrefix(r.URL.Path, "/standin/") {
	case "fail":
		e.SetFailRatio(value)
	case "kill":
		e.Kill()
	case "slow":
		e.SetSlowdown(query.Get("model"), value)
	case "stall":
		e.SetStalled(query.Get("on") == "true")
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

// Order is an order to load or unload a model.
type Order struct {
	// Action is "load" or "unload".
	Action string `json:"action"`
	// Fence is the fencing number.
	Fence int64 `json:"fence"`
	// Model is the model to load or unload.
	Model string `json:"model"`
	// Name identifies the order.
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
	fault := e.nextFault(req.Model, prompt)
	req.slowdown = fault.Slowdown
	if status := e.admit(req.Model, fault); status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if !e.acquireSlot(r.Context()) {
		return
	}
	defer e.releaseSlot()
	e.prefill(r.Context(), prompt)
	w.Header().Set("Content-Type", "text/event-stream")
	e.decode(w, r, req, prompt)
}

// admit counts a request and returns the HTTP status to respond with.
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
	// Spreads the failures evenly over the requests, so that tests are repeatable.
	n := float64(e.requests)
	if int(n*e.failRatio) != int((n-1)*e.failRatio) {
		return http.StatusInternalServerError
	}
	return http.StatusOK
}

func (e *Engine) acquireSlot(ctx context.Context) bool {
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

func (e *Engine) releaseSlot() {
	<-e.slots
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// prefill waits for the time that it takes to prefill the blocks of the prompt
// that are not cached, and caches them.
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
		if sum := digest.Sum64(); !e.cachedBlocks[sum] {
			e.cachedBlocks[sum] = true
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
		if !e.waitForToken(r.Context(), req) {
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
		e.decoded++
		e.mu.Unlock()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// waitForToken waits until the next token is due. It reports false if the engine
// is killed or the client disconnects first.
func (e *Engine) waitForToken(ctx context.Context, req completion) bool {
	e.mu.Lock()
	factor := max(e.slowdowns[req.Model], req.slowdown, 1)
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

// sleep waits for d. It reports false if the engine is killed or ctx ends first.
func (e *Engine) sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-e.killed:
		return false
	case <-ctx.Done():
		return false
	}
}

// NextToken returns the id of the token that a model generates after tokens.
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

// Answer returns the token ids of an uninterrupted answer of n tokens.
func Answer(model string, seed int64, prompt string, n int) []int32 {
	tokens := Tokenize(prompt)
	start := len(tokens)
	for range n {
		tokens = append(tokens, NextToken(model, seed, tokens))
	}
	return tokens[start:]
}

// Tokenize returns the token ids of a text, one per word.
func Tokenize(text string) []int32 {
	const vocabulary = 100_000
	tokens := []int32{}
	for word := range strings.FieldsSeq(text) {
		tokens = append(tokens, int32(xxhash.Sum64String(word)%vocabulary))
	}
	return tokens
}

// promptTokens decodes a prompt that is a text or a list of token ids.
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

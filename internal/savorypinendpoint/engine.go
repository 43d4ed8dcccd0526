// Package savorypinendpoint contains the clients of endpoints: of model engines, by
// the OpenAI-compatible completions API, and of plain services, by HTTP.
package savorypinendpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/tmaxmax/go-sse"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinpool"
)

// maxAnswerBytes bounds an answer that is read as a whole, in bytes.
const maxAnswerBytes = 8 << 20

// maxEventBytes bounds one event of an engine's stream, in bytes.
const maxEventBytes = 1 << 20

// Errors of endpoints. Callers of this package translate them.
var (
	// ErrBrokenAnswer means that an answer ended early or is malformed.
	ErrBrokenAnswer = errors.New("endpoint broke off")
	// ErrFenced means that an engine refused an order with an outdated fencing number.
	ErrFenced = errors.New("endpoint refused an old fencing number")
	// ErrNotSent means that no connection could be opened, so that the endpoint has
	// not received the request.
	ErrNotSent = errors.New("endpoint takes no connections")
	// ErrRefused means that an endpoint answered with an error status, or that the
	// request is invalid.
	ErrRefused = errors.New("endpoint refused the request")
	// ErrUnreachable means that the exchange failed before the answer began. From an
	// Engine, it means that the request may have been sent.
	ErrUnreachable = errors.New("endpoint is unreachable")
)

// EngineConfig configures an Engine.
type EngineConfig struct {
	// HTTPClient sends the requests; nil means a client that never sends a request
	// twice.
	HTTPClient *http.Client
	// OnPromptSent is called with each prompt that the engine has accepted; it may be
	// nil.
	OnPromptSent func(prompt string)
	// URL is the base URL of the engine.
	URL string
}

// Engine is a client of one model engine. It is safe for concurrent use.
type Engine struct {
	cfg EngineConfig
}

// NewEngine returns a client of an engine.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.HTTPClient == nil {
		cfg.HTTPClient = newHTTPClient()
	}
	return &Engine{cfg: cfg}
}

// Request is a request to an engine to generate tokens.
type Request struct {
	// Delivered are the tokens of the answer that have been delivered already.
	Delivered   []savorypin.Token
	MaxTokens   int
	Model       string
	Priority    int
	Prompt      string
	Seed        int64
	Temperature float64
}

type completionRequest struct {
	MaxTokens      int     `json:"max_tokens"`
	Model          string  `json:"model"`
	Priority       int     `json:"priority"`
	Prompt         any     `json:"prompt"`
	ReturnTokenIDs bool    `json:"return_token_ids"`
	Seed           int64   `json:"seed"`
	Stream         bool    `json:"stream"`
	Temperature    float64 `json:"temperature"`
}

type completionChunk struct {
	Choices []struct {
		FinishReason *string `json:"finish_reason"`
		Text         string  `json:"text"`
		TokenIDs     []int32 `json:"token_ids"`
	} `json:"choices"`
}

// Generate calls emit with the tokens that follow the delivered ones, and returns why
// the answer ended.
func (e *Engine) Generate(
	ctx context.Context,
	req Request,
	emit func([]savorypin.Token) error,
) (savorypin.FinishReason, error) {
	if req.MaxTokens <= len(req.Delivered) {
		return savorypin.FinishLength, nil
	}
	prompt, err := e.prompt(ctx, req)
	if err != nil {
		return "", err
	}
	resp, err := e.post(ctx, "/v1/completions", completionRequest{
		MaxTokens:      req.MaxTokens - len(req.Delivered),
		Model:          req.Model,
		Priority:       enginePriority(req),
		Prompt:         prompt,
		ReturnTokenIDs: true,
		Seed:           req.Seed,
		Stream:         true,
		Temperature:    req.Temperature,
	})
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	if e.cfg.OnPromptSent != nil {
		e.cfg.OnPromptSent(req.Prompt)
	}
	return readCompletion(resp.Body, emit)
}

// enginePriority returns the priority in the order of engines, which run the lowest
// number first. Work that continues after delivered tokens runs before new work of the
// same priority.
func enginePriority(req Request) int {
	priority := 2 * req.Priority
	if len(req.Delivered) > 0 {
		priority++
	}
	return -priority
}

// prompt returns the prompt as text, or as token ids if delivered tokens follow it.
func (e *Engine) prompt(ctx context.Context, req Request) (any, error) {
	if len(req.Delivered) == 0 {
		return req.Prompt, nil
	}
	ids, err := e.Tokenize(ctx, req.Prompt)
	if err != nil {
		return nil, err
	}
	for _, token := range req.Delivered {
		ids = append(ids, token.ID)
	}
	return ids, nil
}

func readCompletion(r io.Reader, emit func([]savorypin.Token) error) (savorypin.FinishReason, error) {
	var reason savorypin.FinishReason
	for event, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return "", fmt.Errorf("%w: %w", ErrBrokenAnswer, err)
		}
		if event.Data == "[DONE]" {
			if reason == "" {
				return "", fmt.Errorf("%w: no finish reason", ErrBrokenAnswer)
			}
			return reason, nil
		}
		tokens, finishReason, err := parseChunk(event.Data)
		if err != nil {
			return "", err
		}
		if len(tokens) > 0 {
			if err := emit(tokens); err != nil {
				return "", err
			}
		}
		if finishReason != "" {
			reason = finishReason
		}
	}
	return "", fmt.Errorf("%w: stream ended early", ErrBrokenAnswer)
}

func parseChunk(data string) ([]savorypin.Token, savorypin.FinishReason, error) {
	var chunk completionChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return nil, "", fmt.Errorf("%w: %w", ErrBrokenAnswer, err)
	}
	if len(chunk.Choices) == 0 {
		return nil, "", nil
	}
	choice := chunk.Choices[0]
	tokens := make([]savorypin.Token, 0, len(choice.TokenIDs))
	for i, id := range choice.TokenIDs {
		token := savorypin.Token{ID: id}
		if i == 0 {
			// A chunk has one text for all its tokens; it is assigned to the first.
			token.Text = choice.Text
		}
		tokens = append(tokens, token)
	}
	if choice.FinishReason == nil {
		return tokens, "", nil
	}
	return tokens, savorypin.FinishReason(*choice.FinishReason), nil
}

// Tokenize returns the token ids of a text.
func (e *Engine) Tokenize(ctx context.Context, text string) ([]int32, error) {
	resp, err := e.post(ctx, "/tokenize", struct {
		Prompt string `json:"prompt"`
	}{Prompt: text})
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct {
		Tokens []int32 `json:"tokens"`
	}
	if err := decodeAnswer(resp.Body, &answer); err != nil {
		return nil, err
	}
	return answer.Tokens, nil
}

// Load is the load of an engine in requests.
type Load struct {
	Running int
	Waiting int
}

// Load returns the load that the engine reports, which lags behind the actual load.
func (e *Engine) Load(ctx context.Context) (Load, error) {
	resp, err := e.get(ctx, "/metrics")
	if err != nil {
		return Load{}, err
	}
	defer resp.Body.Close()
	var load Load
	scanner := bufio.NewScanner(io.LimitReader(resp.Body, maxAnswerBytes))
	for scanner.Scan() {
		load.parseLine(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return Load{}, fmt.Errorf("%w: %w", ErrBrokenAnswer, err)
	}
	return load, nil
}

// parseLine sets the load from one line of the engine's metrics page, if the line is
// about it.
func (l *Load) parseLine(line string) {
	name, value, ok := strings.Cut(line, " ")
	if !ok {
		return
	}
	name, _, _ = strings.Cut(name, "{")
	n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil {
		return
	}
	switch name {
	case "vllm:num_requests_running":
		l.Running = int(n)
	case "vllm:num_requests_waiting":
		l.Waiting = int(n)
	}
}

// Models returns the names of the models that the engine has loaded.
func (e *Engine) Models(ctx context.Context) ([]string, error) {
	resp, err := e.get(ctx, "/v1/models")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var answer struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := decodeAnswer(resp.Body, &answer); err != nil {
		return nil, err
	}
	var models []string
	for _, model := range answer.Data {
		models = append(models, model.ID)
	}
	return models, nil
}

// OrderAction is the action of an order.
type OrderAction string

// The actions of orders.
const (
	OrderDrain  OrderAction = "drain"
	OrderLoad   OrderAction = "load"
	OrderRole   OrderAction = "role"
	OrderUnload OrderAction = "unload"
)

// Order is an order to an engine.
type Order struct {
	Action OrderAction `json:"action"`
	// Adapter is the adapter that the order applies to, if any.
	Adapter string `json:"adapter,omitempty"`
	// Fence is the fencing number of the controller that gives the order.
	Fence int64  `json:"fence"`
	Model string `json:"model,omitempty"`
	// Name makes the order idempotent.
	Name string `json:"name"`
	// Role is the new role of the engine, if the action is OrderRole.
	Role string `json:"role,omitempty"`
}

// Order sends an order to the engine and waits until it has been carried out.
func (e *Engine) Order(ctx context.Context, order Order) error {
	resp, err := e.post(ctx, "/v1/orders", order)
	if err != nil {
		return fmt.Errorf("order %s: %w", order.Name, err)
	}
	return resp.Body.Close()
}

func (e *Engine) get(ctx context.Context, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.cfg.URL+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	return e.do(req)
}

func (e *Engine) post(ctx context.Context, path string, v any) (*http.Response, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.cfg.URL+path, bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRefused, err)
	}
	req.Header.Set("Content-Type", "application/json")
	return e.do(req)
}

func (e *Engine) do(req *http.Request) (*http.Response, error) {
	resp, err := e.cfg.HTTPClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", sendError(err), err)
	}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return resp, nil
	case resp.StatusCode == http.StatusPreconditionFailed:
		resp.Body.Close()
		return nil, ErrFenced
	default:
		resp.Body.Close()
		return nil, fmt.Errorf("%w: status %d", ErrRefused, resp.StatusCode)
	}
}

// sendError returns ErrNotSent if the request was certainly not sent, else
// ErrUnreachable.
func sendError(err error) error {
	if errors.Is(err, savorypinpool.ErrConnect) {
		return ErrNotSent
	}
	return ErrUnreachable
}

func decodeAnswer(r io.Reader, v any) error {
	if err := json.NewDecoder(io.LimitReader(r, maxAnswerBytes)).Decode(v); err != nil {
		return fmt.Errorf("%w: %w", ErrBrokenAnswer, err)
	}
	return nil
}

// Package savorypincaller serves the callers' API of an entry.
package savorypincaller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	goahttp "goa.design/goa/v3/http"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinapi"
	caller "savorypin/internal/savorypinapi/gen/caller"
	callerserver "savorypin/internal/savorypinapi/gen/http/caller/server"
	"savorypin/internal/savorypinentry"
	"savorypin/internal/savorypinoperator"
)

// maxCallBytes is the maximum size of the body of a call in bytes.
const maxCallBytes = 1 << 20

// Types of the events in a stream.
const (
	eventAccepted = "accepted"
	eventDone     = "done"
	eventError    = "error"
	eventToken    = "token"
)

// service implements the callers' API.
type service struct {
	entry *savorypinentry.Entry
}

// NewHandler returns the HTTP handler of the callers' and the operators' API.
func NewHandler(entry *savorypinentry.Entry) http.Handler {
	s := &service{entry: entry}
	mux := goahttp.NewMuxer()
	endpoints := caller.NewEndpoints(s)
	server := callerserver.New(endpoints, mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, s.logError, nil)
	server.Use(withStatus)
	callerserver.Mount(mux, server)
	savorypinoperator.Mount(mux, savorypinoperator.Config{Daemon: entry.Daemon()})
	return mux
}

func (s *service) logError(_ context.Context, _ http.ResponseWriter, err error) {
	s.entry.Daemon().Logger().Warn("Failed to serve a caller's request", "err", err)
}

// Generate generates an answer and returns it when it is complete.
func (s *service) Generate(ctx context.Context, p *caller.GeneratePayload) (*caller.Generation, error) {
	relay, err := s.start(paramsOfGenerate(*p))
	if err != nil {
		return nil, apiError(err)
	}
	defer s.entry.HoldStop()()
	answer := &caller.Generation{ID: string(relay.Generation().ID), Tokens: []int{}}
	var text strings.Builder
	for position := startPosition(relay); ; {
		var end savorypinentry.End
		position, end, err = collectTokens(ctx, relay, position, answer, &text)
		if errors.Is(err, savorypinentry.ErrTakenOver) {
			// This caller can't attach to the generation again, so the entry looks
			// for a relay that can continue after the last token, or takes the
			// generation over.
			relay, err = s.entry.Find(ctx, position)
			if err == nil {
				continue
			}
		}
		if err != nil {
			return nil, apiError(savorypin.Errorf(savorypin.KindIncomplete, answer.ID, "%w", err))
		}
		if end.Err != nil {
			return nil, apiError(end.Err)
		}
		answer.Attempts = relay.Attempts()
		answer.FinishReason = string(end.Reason)
		answer.Text = text.String()
		answer.Version = relay.Version()
		return answer, nil
	}
}

// collectTokens appends the tokens after a position to an answer until the
// generation ends or reading fails. It returns the position after the last token
// and how the generation ended.
func collectTokens(
	ctx context.Context,
	relay *savorypinentry.Relay,
	position savorypin.EventID,
	answer *caller.Generation,
	text *strings.Builder,
) (savorypin.EventID, savorypinentry.End, error) {
	reader := relay.OpenWhole(position)
	defer reader.Close()
	for {
		tokens, end, err := reader.Next(ctx)
		if err != nil {
			return reader.Position(), savorypinentry.End{}, err
		}
		if end != nil {
			return reader.Position(), *end, nil
		}
		for _, token := range tokens {
			answer.Tokens = append(answer.Tokens, int(token.ID))
			text.WriteString(token.Text)
		}
	}
}

// generateParams are the common parameters of the methods that start a generation.
type generateParams struct {
	Service       string
	Route         *string
	Prompt        string
	MaxTokens     int
	Seed          *int64
	Temperature   *float64
	TimeoutMs     *int
	Authorization *string
}

func paramsOfGenerate(p caller.GeneratePayload) generateParams {
	return generateParams(p)
}

func paramsOfStream(p caller.StreamPayload) generateParams {
	return generateParams(p)
}

// entryRequest checks the authorization of a request and converts it to a request
// of the entry.
func (s *service) entryRequest(p generateParams) (savorypinentry.Request, error) {
	organisation, err := s.authorize(p.Authorization)
	if err != nil {
		return savorypinentry.Request{}, err
	}
	return savorypinentry.Request{
		Generation: savorypin.Generation{
			MaxTokens:    p.MaxTokens,
			Organisation: organisation,
			Prompt:       p.Prompt,
			Route:        savorypinapi.ValueOf(p.Route),
			Seed:         savorypinapi.ValueOf(p.Seed),
			Service:      p.Service,
			Temperature:  savorypinapi.ValueOf(p.Temperature),
		},
		Timeout: time.Duration(savorypinapi.ValueOf(p.TimeoutMs)) * time.Millisecond,
	}, nil
}

func (s *service) start(p generateParams) (*savorypinentry.Relay, error) {
	req, err := s.entryRequest(p)
	if err != nil {
		return nil, err
	}
	return s.entry.Start(req)
}

// Cancel cancels a generation.
func (s *service) Cancel(ctx context.Context, p *caller.CancelPayload) error {
	organisation, err := s.authorize(p.Authorization)
	if err != nil {
		return apiError(err)
	}
	start := savorypin.NewEventID(savorypin.GenerationID(p.ID), 0, savorypin.AttemptID{})
	relay, err := s.findRelay(ctx, start, organisation)
	if err != nil {
		return apiError(err)
	}
	relay.Cancel()
	return nil
}

// Call calls a plain service.
func (s *service) Call(ctx context.Context, p *caller.CallPayload, body io.ReadCloser) (*caller.CallResult, io.ReadCloser, error) {
	defer body.Close()
	organisation, err := s.authorize(p.Authorization)
	if err != nil {
		return nil, nil, apiError(err)
	}
	data, err := io.ReadAll(io.LimitReader(body, maxCallBytes+1))
	if err != nil {
		return nil, nil, apiError(savorypin.Errorf(savorypin.KindInvalid, p.Service+"/"+p.Route, "read body: %w", err))
	}
	if len(data) > maxCallBytes {
		return nil, nil, apiError(savorypin.Errorf(savorypin.KindInvalid, p.Service+"/"+p.Route,
			"body is longer than %d bytes", maxCallBytes))
	}
	answer, err := s.entry.Call(ctx, savorypinentry.Call{
		Body:         data,
		ContentType:  "application/json",
		Key:          scopedKey(organisation, savorypinapi.ValueOf(p.Key)),
		Organisation: organisation,
		Route:        p.Route,
		Service:      p.Service,
		Timeout:      time.Duration(savorypinapi.ValueOf(p.TimeoutMs)) * time.Millisecond,
	})
	if err != nil {
		return nil, nil, apiError(err)
	}
	setStatus(ctx, answer.Answer.Status)
	result := &caller.CallResult{ContentType: &answer.Answer.ContentType, Replayed: &answer.Replayed}
	return result, io.NopCloser(bytes.NewReader(answer.Answer.Body)), nil
}

// scopedKey returns an idempotency key prefixed with the organisation, so that the
// keys of organisations can't clash. An empty key stays empty.
func scopedKey(organisation, key string) string {
	if key == "" {
		return ""
	}
	return organisation + "/" + key
}

// Outcome returns the outcome of the call with an idempotency key.
func (s *service) Outcome(ctx context.Context, p *caller.OutcomePayload) (*caller.OutcomeResult, error) {
	organisation, err := s.authorize(p.Authorization)
	if err != nil {
		return nil, apiError(err)
	}
	outcome, err := s.entry.Outcome(ctx, p.Service, scopedKey(organisation, p.Key))
	if err != nil {
		return nil, apiError(err)
	}
	switch {
	case outcome.Answer != nil:
		body := string(outcome.Answer.Body)
		return &caller.OutcomeResult{Body: &body, Outcome: "done", Status: &outcome.Answer.Status}, nil
	case outcome.NotRun:
		return &caller.OutcomeResult{Outcome: "not_run"}, nil
	default:
		return &caller.OutcomeResult{Outcome: "unknown"}, nil
	}
}

// Live always succeeds, which shows that the process serves requests.
func (s *service) Live(context.Context) error {
	return nil
}

// Ready returns an error unless load balancers may send requests to this entry.
func (s *service) Ready(context.Context) error {
	if s.entry.Daemon().Ready() {
		return nil
	}
	return apiError(savorypin.Errorf(savorypin.KindNotRun, s.entry.Daemon().Settings().Name, "not ready"))
}

// authorize returns the organisation of a bearer token. Tokens are looked up by
// their SHA-256 sum, so that the duration of the lookup reveals nothing about
// them.
func (s *service) authorize(header *string) (string, error) {
	token := strings.TrimPrefix(savorypinapi.ValueOf(header), "Bearer ")
	if token == "" {
		if name := s.entry.AnonymousOrganisation(); name != "" {
			return name, nil
		}
		return "", savorypin.Errorf(savorypin.KindUnauthorized, "caller", "bearer token is missing")
	}
	sum := sha256.Sum256([]byte(token))
	name, ok := s.entry.Daemon().Config().OrganisationOf(hex.EncodeToString(sum[:]))
	if !ok {
		return "", savorypin.Errorf(savorypin.KindUnauthorized, "caller", "bearer token is not accepted")
	}
	return name, nil
}

// apiError converts an error to the error type of the callers' API.
func apiError(err error) error {
	var e *savorypin.Error
	if !errors.As(err, &e) {
		return &caller.Failure{Kind: string(savorypin.KindUnknown), Message: err.Error()}
	}
	f := &caller.Failure{Kind: string(e.Kind), Message: e.Detail(), Object: &e.Object}
	if seconds := savorypin.RetryAfterSecondsOf(e); seconds > 0 {
		f.RetryAfter = &seconds
	}
	return f
}

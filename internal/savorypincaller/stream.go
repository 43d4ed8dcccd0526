package savorypincaller

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinapi"
	caller "savorypin/internal/savorypinapi/gen/caller"
	"savorypin/internal/savorypinentry"
)

// aliveInterval is how long a stream is quiet before the caller is told that
// it lives.
const aliveInterval = 500 * time.Millisecond

// sender is the part of goa's streams that events are sent with.
type sender func(context.Context, *caller.TokenEvent) error

// Stream generates an answer and streams it.
func (s *service) Stream(ctx context.Context, p *caller.StreamPayload, stream caller.StreamServerStream) error {
	relay, err := s.start(streamPrompt(*p))
	if err != nil {
		return failure(err)
	}
	return s.send(ctx, relay, startOf(relay), stream.SendWithContext)
}

// Resume goes on after tokens that the caller holds.
func (s *service) Resume(ctx context.Context, p *caller.ResumePayload, stream caller.ResumeServerStream) error {
	req, err := s.request(prompt{
		Service:       p.Service,
		Route:         p.Route,
		Prompt:        p.Prompt,
		MaxTokens:     p.MaxTokens,
		Seed:          p.Seed,
		Temperature:   p.Temperature,
		TimeoutMs:     p.TimeoutMs,
		Authorization: p.Authorization,
	})
	if err != nil {
		return failure(err)
	}
	req.Version = p.Version
	for _, id := range p.Delivered {
		req.Delivered = append(req.Delivered, savorypin.Token{ID: id})
	}
	relay, err := s.entry.Start(req)
	if err != nil {
		return failure(err)
	}
	position := savorypin.NewEventID(relay.Generation().ID, len(req.Delivered), savorypin.AttemptID{})
	return s.send(ctx, relay, position, stream.SendWithContext)
}

// Attach goes on with an answer after the last event that the caller has seen.
func (s *service) Attach(ctx context.Context, p *caller.AttachPayload, stream caller.AttachServerStream) error {
	organisation, err := s.authorize(p.Authorization)
	if err != nil {
		return failure(err)
	}
	position, err := positionOf(p)
	if err != nil {
		return failure(err)
	}
	relay, err := s.find(ctx, position, organisation)
	if err != nil {
		return failure(err)
	}
	return s.send(ctx, relay, position, stream.SendWithContext)
}

// startOf returns the position before the first token.
func startOf(relay *savorypinentry.Relay) savorypin.EventID {
	return savorypin.NewEventID(relay.Generation().ID, 0, savorypin.AttemptID{})
}

// positionOf returns the position after the last event that a caller has seen.
func positionOf(p *caller.AttachPayload) (savorypin.EventID, error) {
	id := savorypin.GenerationID(p.ID)
	last := savorypinapi.ValueOf(p.LastEventID)
	if last == "" {
		return savorypin.NewEventID(id, 0, savorypin.AttemptID{}), nil
	}
	position, err := savorypin.ParseEventID(last)
	if err == nil && position.Generation() != id {
		err = savorypin.Errorf(savorypin.KindInvalid, last, "is no event of generation %s", id)
	}
	return position, err
}

// find returns a generation of an organisation.
func (s *service) find(ctx context.Context, position savorypin.EventID, organisation string) (*savorypinentry.Relay, error) {
	relay, err := s.entry.Find(ctx, position)
	if err != nil {
		return nil, err
	}
	if relay.Generation().Organisation != organisation {
		return nil, savorypin.Errorf(savorypin.KindNotFound, string(position.Generation()), "no such generation")
	}
	return relay, nil
}

// accepted, done and failed are the bodies of events. The version of an
// accepted event is final if it is sent after, or right before, a token.
type accepted struct {
	ID      string `json:"id"`
	Version string `json:"version"`
}

type done struct {
	Attempts     int                    `json:"attempts"`
	FinishReason savorypin.FinishReason `json:"finish_reason"`
	Tokens       int                    `json:"tokens"`
	Version      string                 `json:"version"`
}

type failed struct {
	Kind       savorypin.ErrorKind `json:"kind"`
	Message    string              `json:"message"`
	RetryAfter int                 `json:"retry_after,omitempty"`
}

// send streams an answer from a position on. While there is no token it
// repeats the accepted event, so that the caller can tell a quiet answer from a
// silent connection.
func (s *service) send(ctx context.Context, relay *savorypinentry.Relay, position savorypin.EventID, send sender) error {
	reader := relay.Open(position)
	defer reader.Close()
	if err := sendAccepted(ctx, send, relay, position); err != nil {
		return err
	}
	first := true
	for {
		position = reader.Position()
		tokens, end, err := next(ctx, reader)
		switch {
		case errors.Is(err, errQuiet):
			err = sendAccepted(ctx, send, relay, position)
		case errors.Is(err, savorypinentry.ErrMoved), ctx.Err() != nil:
			// The stream ends early, so that the caller attaches again if it
			// lives.
			return nil
		case err != nil:
			return sendEnd(ctx, send, relay, position, savorypinentry.End{Err: err})
		case end != nil:
			return sendEnd(ctx, send, relay, position, *end)
		default:
			err = sendBatch(ctx, send, relay, position, reader.Position(), tokens, first)
			first = false
		}
		if err != nil {
			return err
		}
	}
}

func sendAccepted(ctx context.Context, send sender, relay *savorypinentry.Relay, position savorypin.EventID) error {
	body := accepted{ID: string(relay.Generation().ID), Version: relay.Version()}
	return sendEvent(ctx, send, position, eventAccepted, body)
}

// errQuiet means that no token came for a while.
var errQuiet = errors.New("no token came")

// next returns what comes next, or errQuiet.
func next(ctx context.Context, reader *savorypinentry.Reader) ([]savorypin.Token, *savorypinentry.End, error) {
	limited, cancel := context.WithTimeout(ctx, aliveInterval)
	defer cancel()
	tokens, end, err := reader.Next(limited)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return nil, nil, errQuiet
	}
	return tokens, end, err
}

// sendBatch sends tokens. Before the first ones it says which version is final.
func sendBatch(
	ctx context.Context,
	send sender,
	relay *savorypinentry.Relay,
	from, to savorypin.EventID,
	tokens []savorypin.Token,
	first bool,
) error {
	if first {
		if err := sendAccepted(ctx, send, relay, from); err != nil {
			return err
		}
	}
	return sendTokens(ctx, send, from, to, tokens)
}

// sendTokens sends tokens of one attempt, from one position up to another.
func sendTokens(ctx context.Context, send sender, from, to savorypin.EventID, tokens []savorypin.Token) error {
	for i, token := range tokens {
		position := savorypin.NewEventID(to.Generation(), from.Next()+i+1, to.Attempt())
		if err := sendEvent(ctx, send, position, eventToken, token); err != nil {
			return err
		}
	}
	return nil
}

func sendEnd(
	ctx context.Context,
	send sender,
	relay *savorypinentry.Relay,
	position savorypin.EventID,
	end savorypinentry.End,
) error {
	if end.Err != nil {
		body := failed{Kind: savorypin.KindOf(end.Err), Message: end.Err.Error(), RetryAfter: savorypin.RetryAfterSecondsOf(end.Err)}
		return sendEvent(ctx, send, position, eventError, body)
	}
	body := done{
		Attempts:     relay.Attempts(),
		FinishReason: end.Reason,
		Tokens:       position.Next(),
		Version:      relay.Version(),
	}
	return sendEvent(ctx, send, position, eventDone, body)
}

func sendEvent(ctx context.Context, send sender, position savorypin.EventID, event string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return send(ctx, &caller.TokenEvent{Data: string(data), Event: event, ID: position.String()})
}

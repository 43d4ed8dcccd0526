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

// keepAliveInterval is the interval at which a stream repeats the accepted event
// while it has no token to send.
const keepAliveInterval = 500 * time.Millisecond

// sendFunc sends an event. It is the method SendWithContext of goa's streams.
type sendFunc func(context.Context, *caller.TokenEvent) error

// Stream starts a generation and streams its tokens.
func (s *service) Stream(ctx context.Context, p *caller.StreamPayload, stream caller.StreamServerStream) error {
	relay, err := s.start(paramsOfStream(*p))
	if err != nil {
		return apiError(err)
	}
	return s.sendStream(ctx, relay, startPosition(relay), stream.SendWithContext)
}

// Resume starts a generation that continues after the tokens that the caller
// already has, and streams the tokens after these.
func (s *service) Resume(ctx context.Context, p *caller.ResumePayload, stream caller.ResumeServerStream) error {
	req, err := s.entryRequest(generateParams{
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
		return apiError(err)
	}
	req.Version = p.Version
	for _, id := range p.Delivered {
		req.Delivered = append(req.Delivered, savorypin.Token{ID: id})
	}
	relay, err := s.entry.Start(req)
	if err != nil {
		return apiError(err)
	}
	position := savorypin.NewEventID(relay.Generation().ID, len(req.Delivered), savorypin.AttemptID{})
	return s.sendStream(ctx, relay, position, stream.SendWithContext)
}

// Attach streams a generation after the last event that the caller has received.
func (s *service) Attach(ctx context.Context, p *caller.AttachPayload, stream caller.AttachServerStream) error {
	organisation, err := s.authorize(p.Authorization)
	if err != nil {
		return apiError(err)
	}
	position, err := attachPosition(p)
	if err != nil {
		return apiError(err)
	}
	relay, err := s.findRelay(ctx, position, organisation)
	if err != nil {
		return apiError(err)
	}
	return s.sendStream(ctx, relay, position, stream.SendWithContext)
}

// startPosition returns the position before the first token.
func startPosition(relay *savorypinentry.Relay) savorypin.EventID {
	return savorypin.NewEventID(relay.Generation().ID, 0, savorypin.AttemptID{})
}

// attachPosition returns the position after the last event that the caller has
// received. It returns an error if the event's id is invalid or of another
// generation.
func attachPosition(p *caller.AttachPayload) (savorypin.EventID, error) {
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

// findRelay returns the relay of a generation. It returns a not-found error if the
// generation belongs to another organisation.
func (s *service) findRelay(ctx context.Context, position savorypin.EventID, organisation string) (*savorypinentry.Relay, error) {
	relay, err := s.entry.Find(ctx, position)
	if err != nil {
		return nil, err
	}
	if relay.Generation().Organisation != organisation {
		return nil, savorypin.Errorf(savorypin.KindNotFound, string(position.Generation()), "no such generation")
	}
	return relay, nil
}

// acceptedBody is the body of an accepted event. Its version is final if the event
// is sent after a token or right before the first one.
type acceptedBody struct {
	ID      string `json:"id"`
	Version string `json:"version"`
}

// doneBody is the body of a done event.
type doneBody struct {
	Attempts     int                    `json:"attempts"`
	FinishReason savorypin.FinishReason `json:"finish_reason"`
	Tokens       int                    `json:"tokens"`
	Version      string                 `json:"version"`
}

// errorBody is the body of an error event.
type errorBody struct {
	Kind       savorypin.ErrorKind `json:"kind"`
	Message    string              `json:"message"`
	RetryAfter int                 `json:"retry_after,omitempty"`
}

// sendStream streams a generation from a position on. While there is no token it
// repeats the accepted event, so that the caller can distinguish a slow generation
// from a dead connection.
func (s *service) sendStream(ctx context.Context, relay *savorypinentry.Relay, position savorypin.EventID, send sendFunc) error {
	reader := relay.Open(position)
	defer reader.Close()
	if err := sendAccepted(ctx, send, relay, position); err != nil {
		return err
	}
	first := true
	for {
		position = reader.Position()
		tokens, end, err := nextTokens(ctx, reader)
		switch {
		case errors.Is(err, errNoToken):
			err = sendAccepted(ctx, send, relay, position)
		case errors.Is(err, savorypinentry.ErrTakenOver), ctx.Err() != nil:
			// Ends the stream without a final event, so that a caller that is
			// still connected attaches again.
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

func sendAccepted(ctx context.Context, send sendFunc, relay *savorypinentry.Relay, position savorypin.EventID) error {
	body := acceptedBody{ID: string(relay.Generation().ID), Version: relay.Version()}
	return sendEvent(ctx, send, position, eventAccepted, body)
}

// errNoToken is returned by nextTokens if no token came within keepAliveInterval.
var errNoToken = errors.New("no token within the keep-alive interval")

// nextTokens returns the next tokens or the end of the generation. It returns
// errNoToken if neither comes within keepAliveInterval.
func nextTokens(ctx context.Context, reader *savorypinentry.Reader) ([]savorypin.Token, *savorypinentry.End, error) {
	limited, cancel := context.WithTimeout(ctx, keepAliveInterval)
	defer cancel()
	tokens, end, err := reader.Next(limited)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		return nil, nil, errNoToken
	}
	return tokens, end, err
}

// sendBatch sends tokens. Before the first batch it sends an accepted event with
// the final version.
func sendBatch(
	ctx context.Context,
	send sendFunc,
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

// sendTokens sends the tokens of one attempt between two positions.
func sendTokens(ctx context.Context, send sendFunc, from, to savorypin.EventID, tokens []savorypin.Token) error {
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
	send sendFunc,
	relay *savorypinentry.Relay,
	position savorypin.EventID,
	end savorypinentry.End,
) error {
	if end.Err != nil {
		body := errorBody{Kind: savorypin.KindOf(end.Err), Message: end.Err.Error(), RetryAfter: savorypin.RetryAfterSecondsOf(end.Err)}
		return sendEvent(ctx, send, position, eventError, body)
	}
	body := doneBody{
		Attempts:     relay.Attempts(),
		FinishReason: end.Reason,
		Tokens:       position.Next(),
		Version:      relay.Version(),
	}
	return sendEvent(ctx, send, position, eventDone, body)
}

func sendEvent(ctx context.Context, send sendFunc, position savorypin.EventID, event string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return send(ctx, &caller.TokenEvent{Data: string(data), Event: event, ID: position.String()})
}

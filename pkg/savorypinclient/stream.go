package savorypinclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/tmaxmax/go-sse"
)

// Bounds of the delay between attempts to open a stream.
const (
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = time.Second
)

// resumeRequest is the body of a request for the rest of an answer.
type resumeRequest struct {
	Request

	Delivered []int32 `json:"delivered"`
	Version   string  `json:"version"`
}

// streamReader is the state of one call of Stream.
type streamReader struct {
	client *Client
	// delivered are the ids of the tokens that were passed to handle. If the entry and the
	// agent fail together, the client has the only copy, from which it resumes the answer.
	delivered []int32
	// ended is set once savorypin has sent an error that ends the generation.
	ended        bool
	handle       func(Token) error
	generationID string
	lastEventID  string
	received     int
	req          Request
	result       Result
}

// Stream generates an answer and calls handle for each token once, in order. It returns
// the errors of handle, and an *Error if savorypin refused the request or ended the
// generation with an error. It tries again after failures of connections until ctx ends.
func (c *Client) Stream(ctx context.Context, req Request, handle func(Token) error) (Result, error) {
	s := &streamReader{client: c, handle: handle, req: req}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for i := 0; ; i++ {
		entry := c.cfg.Entries[i%len(c.cfg.Entries)]
		previous := s.received
		err := s.readEvents(ctx, entry)
		if err == nil {
			return s.result, nil
		}
		if ctx.Err() != nil || !s.shouldRetry(err) {
			return s.result, err
		}
		if s.generationID != "" {
			s.result.Attaches++
		}
		if s.received > previous {
			retry.Reset()
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
			return s.result, ctx.Err()
		}
	}
}

// shouldRetry reports whether Stream tries again after an error. If the generation is
// lost, it clears the generation's id, so that the next try resumes the answer after the
// tokens that were handled, or requests it anew if there were none.
func (s *streamReader) shouldRetry(err error) bool {
	if errors.Is(err, errTransport) {
		return true
	}
	var e *Error
	if (s.generationID == "" && s.received == 0) || !errors.As(err, &e) {
		return false
	}
	if e.kind == KindNotFound {
		s.generationID = ""
		s.ended = false
		return true
	}
	// Only an error event ends the generation. A refusal to attach or to resume does not.
	return e.kind == KindNotRun && !s.ended
}

// readEvents opens the stream through one entry and handles its events until the answer
// or the connection ends. It cancels the connection if no event arrives in QuietAfter.
func (s *streamReader) readEvents(ctx context.Context, entry string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(s.client.cfg.QuietAfter, cancel)
	defer idleTimer.Stop()
	resp, err := s.open(ctx, entry)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", errTransport, err)
		}
		idleTimer.Reset(s.client.cfg.QuietAfter)
		finished, err := s.handleEvent(event)
		if finished || err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: stream ended early", errTransport)
}

// open requests the answer, attaches to its generation, or resumes a lost generation
// after the tokens that were handled.
func (s *streamReader) open(ctx context.Context, entry string) (*http.Response, error) {
	if s.generationID == "" && s.received == 0 {
		return s.client.post(ctx, entry+"/v1/generations/stream", "", s.req)
	}
	if s.generationID == "" {
		return s.client.post(ctx, entry+"/v1/generations/resume", "", resumeRequest{
			Request:   s.req,
			Delivered: s.delivered,
			Version:   s.result.Version,
		})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/generations/"+url.PathEscape(s.generationID)+"/stream", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Last-Event-ID", s.lastEventID)
	return s.client.do(req)
}

// handleEvent handles one event and reports whether the answer is complete. The id of an
// event consists of the generation's id, the number of tokens so far and optionally the
// id of an attempt, separated by slashes.
func (s *streamReader) handleEvent(event sse.Event) (bool, error) {
	generation, rest, _ := strings.Cut(event.LastEventID, "/")
	index, _, _ := strings.Cut(rest, "/")
	count, err := strconv.Atoi(index)
	if err != nil {
		return false, fmt.Errorf("%w: bad event id %q", errTransport, event.LastEventID)
	}
	s.generationID = generation
	s.result.ID = generation
	switch event.Type {
	case "accepted":
		// Keeps the id of the last token's event, from which the client attaches again,
		// unless it is of an earlier generation.
		if count == s.received && !strings.HasPrefix(s.lastEventID, generation+"/") {
			s.lastEventID = event.LastEventID
		}
		return false, json.Unmarshal([]byte(event.Data), &s.result)
	case "done":
		return true, json.Unmarshal([]byte(event.Data), &s.result)
	case "error":
		s.ended = true
		return false, parseError([]byte(event.Data), 0)
	case "token":
		if count != s.received+1 {
			return false, fmt.Errorf("%w: token %d came after token %d", errTransport, count, s.received)
		}
		var token Token
		if err := json.Unmarshal([]byte(event.Data), &token); err != nil {
			return false, fmt.Errorf("%w: %w", errTransport, err)
		}
		s.delivered = append(s.delivered, token.ID)
		s.lastEventID = event.LastEventID
		s.received = count
		return false, s.handle(token)
	default:
		return false, nil
	}
}

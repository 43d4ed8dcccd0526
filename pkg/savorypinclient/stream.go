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

// follower is the state of one call of Stream.
type follower struct {
	client *Client
	// delivered are the ids of the tokens that were handled. If the entry and the agent
	// fail together, the client has the only copy, from which it resumes the answer.
	delivered []int32
	// ended is set once savorypin has sent an error that ends the generation.
	ended    bool
	handle   func(Token) error
	id       string
	lastID   string
	received int
	req      Request
	result   Result
}

// Stream generates an answer and calls handle for each token once, in order. It returns
// the errors of handle, and an *Error if savorypin refused the request or ended the
// generation with an error. It tries again after failures of connections until ctx ends.
func (c *Client) Stream(ctx context.Context, req Request, handle func(Token) error) (Result, error) {
	f := &follower{client: c, handle: handle, req: req}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for i := 0; ; i++ {
		entry := c.cfg.Entries[i%len(c.cfg.Entries)]
		previous := f.received
		err := f.readEvents(ctx, entry)
		if err == nil {
			return f.result, nil
		}
		if ctx.Err() != nil || !f.shouldRetry(err) {
			return f.result, err
		}
		if f.id != "" {
			f.result.Attaches++
		}
		if f.received > previous {
			retry.Reset()
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
			return f.result, ctx.Err()
		}
	}
}

// shouldRetry reports whether Stream tries again after an error. If the generation is
// lost, it makes the next try request it anew, after the tokens that were handled.
func (f *follower) shouldRetry(err error) bool {
	if errors.Is(err, errTransport) {
		return true
	}
	var e *Error
	if (f.id == "" && f.received == 0) || !errors.As(err, &e) {
		return false
	}
	if e.kind == KindNotFound {
		f.id = ""
		f.ended = false
		return true
	}
	// A refusal to attach does not mean that the generation itself has ended.
	return e.kind == KindNotRun && !f.ended
}

// readEvents opens the stream through one entry and handles its events until the answer
// or the connection ends. It cancels the connection if no event arrives in QuietAfter.
func (f *follower) readEvents(ctx context.Context, entry string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(f.client.cfg.QuietAfter, cancel)
	defer idleTimer.Stop()
	resp, err := f.open(ctx, entry)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", errTransport, err)
		}
		idleTimer.Reset(f.client.cfg.QuietAfter)
		finished, err := f.handleEvent(event)
		if finished || err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: stream ended early", errTransport)
}

// open requests the answer, attaches to its generation, or resumes a lost generation
// after the tokens that were handled.
func (f *follower) open(ctx context.Context, entry string) (*http.Response, error) {
	if f.id == "" && f.received == 0 {
		return f.client.post(ctx, entry+"/v1/generations/stream", "", f.req)
	}
	if f.id == "" {
		return f.client.post(ctx, entry+"/v1/generations/resume", "", resumeRequest{
			Request:   f.req,
			Delivered: f.delivered,
			Version:   f.result.Version,
		})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, entry+"/v1/generations/"+url.PathEscape(f.id)+"/stream", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Last-Event-ID", f.lastID)
	return f.client.do(req)
}

// handleEvent handles one event and reports whether the answer is complete. The id of an
// event is the generation's id and the number of tokens so far, separated by a slash.
func (f *follower) handleEvent(event sse.Event) (bool, error) {
	generation, rest, _ := strings.Cut(event.LastEventID, "/")
	index, _, _ := strings.Cut(rest, "/")
	count, err := strconv.Atoi(index)
	if err != nil {
		return false, fmt.Errorf("%w: bad event id %q", errTransport, event.LastEventID)
	}
	f.id = generation
	f.result.ID = generation
	switch event.Type {
	case "accepted":
		// Within a generation, the client attaches at the id of the last token's event.
		if count == f.received && !strings.HasPrefix(f.lastID, generation+"/") {
			f.lastID = event.LastEventID
		}
		return false, json.Unmarshal([]byte(event.Data), &f.result)
	case "done":
		return true, json.Unmarshal([]byte(event.Data), &f.result)
	case "error":
		f.ended = true
		return false, parseError([]byte(event.Data), 0)
	case "token":
		if count != f.received+1 {
			return false, fmt.Errorf("%w: token %d came after token %d", errTransport, count, f.received)
		}
		var token Token
		if err := json.Unmarshal([]byte(event.Data), &token); err != nil {
			return false, fmt.Errorf("%w: %w", errTransport, err)
		}
		f.delivered = append(f.delivered, token.ID)
		f.lastID = event.LastEventID
		f.received = count
		return false, f.handle(token)
	default:
		return false, nil
	}
}

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

// Pauses between tries to attach.
const (
	minRetryInterval = 50 * time.Millisecond
	maxRetryInterval = time.Second
)

// resumeRequest asks for the rest of an answer.
type resumeRequest struct {
	Request

	Delivered []int32 `json:"delivered"`
	Version   string  `json:"version"`
}

// follower is one answer that is being followed.
type follower struct {
	client *Client
	// delivered are the ids of the tokens that were handled. No other party
	// has them once the entry and the agent have died together.
	delivered []int32
	// ended says that savorypin has told how the generation ended.
	ended  bool
	handle func(Token) error
	id     string
	lastID string
	next   int
	req    Request
	result Result
}

// Stream generates an answer and calls handle for each token once, in order.
func (c *Client) Stream(ctx context.Context, req Request, handle func(Token) error) (Result, error) {
	f := &follower{client: c, handle: handle, req: req}
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryInterval
	retry.MaxInterval = maxRetryInterval
	for i := 0; ; i++ {
		entry := c.cfg.Entries[i%len(c.cfg.Entries)]
		before := f.next
		err := f.follow(ctx, entry)
		if err == nil {
			return f.result, nil
		}
		if ctx.Err() != nil || !f.goesOn(err) {
			return f.result, err
		}
		if f.id != "" {
			f.result.Attaches++
		}
		if f.next > before {
			retry.Reset()
		}
		select {
		case <-time.After(retry.NextBackOff()):
		case <-ctx.Done():
			return f.result, ctx.Err()
		}
	}
}

// goesOn reports whether another try makes sense. A generation that is lost is
// asked for again, after the tokens that were handled.
func (f *follower) goesOn(err error) bool {
	if errors.Is(err, errTransport) {
		return true
	}
	var e *Error
	if (f.id == "" && f.next == 0) || !errors.As(err, &e) {
		return false
	}
	if e.kind == KindNotFound {
		f.id = ""
		f.ended = false
		return true
	}
	// An entry that cannot attach says nothing of the generation itself.
	return e.kind == KindNotRun && !f.ended
}

// follow reads events through one entry until the answer or the connection
// ends.
func (f *follower) follow(ctx context.Context, entry string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	quiet := time.AfterFunc(f.client.cfg.QuietAfter, cancel)
	defer quiet.Stop()
	resp, err := f.open(ctx, entry)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	for event, err := range sse.Read(resp.Body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return fmt.Errorf("%w: %w", errTransport, err)
		}
		quiet.Reset(f.client.cfg.QuietAfter)
		finished, err := f.take(event)
		if finished || err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: stream ended early", errTransport)
}

func (f *follower) open(ctx context.Context, entry string) (*http.Response, error) {
	if f.id == "" && f.next == 0 {
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

// take handles one event and reports whether the answer is whole.
func (f *follower) take(event sse.Event) (bool, error) {
	generation, rest, _ := strings.Cut(event.LastEventID, "/")
	index, _, _ := strings.Cut(rest, "/")
	next, err := strconv.Atoi(index)
	if err != nil {
		return false, fmt.Errorf("%w: bad event id %q", errTransport, event.LastEventID)
	}
	f.id = generation
	f.result.ID = generation
	switch event.Type {
	case "accepted":
		// Within a generation, the last token's event says where to go on.
		if next == f.next && !strings.HasPrefix(f.lastID, generation+"/") {
			f.lastID = event.LastEventID
		}
		return false, json.Unmarshal([]byte(event.Data), &f.result)
	case "done":
		return true, json.Unmarshal([]byte(event.Data), &f.result)
	case "error":
		f.ended = true
		return false, parseError([]byte(event.Data), 0)
	case "token":
		if next != f.next+1 {
			return false, fmt.Errorf("%w: token %d came after token %d", errTransport, next, f.next)
		}
		var token Token
		if err := json.Unmarshal([]byte(event.Data), &token); err != nil {
			return false, fmt.Errorf("%w: %w", errTransport, err)
		}
		f.delivered = append(f.delivered, token.ID)
		f.lastID = event.LastEventID
		f.next = next
		return false, f.handle(token)
	default:
		return false, nil
	}
}

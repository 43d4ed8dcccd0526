package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// callerHost is the host of all routes.
const callerHost = "ficu95.example"

// requestSerial numbers the requests.
var requestSerial atomic.Int64

// call is a request of a client, one client attempt.
type call struct {
	// deadline is how long the client waits.
	deadline time.Duration
	id       string
	key      string
	// lastEventID is the last event that the client has; zero for none.
	lastEventID int
	method      string
	path        string
	// outputTokens is the maximum number of tokens of a stream; zero for a plain request.
	outputTokens int
	// ownTokens is the size of the part of a stream's prompt that belongs to the request itself.
	ownTokens int
}

// newCall returns a call with a new id.
func newCall(path, key string, deadline time.Duration) call {
	return call{deadline: deadline, id: fmt.Sprintf("%016x", 0x1c41d07b<<32+requestSerial.Add(1)), key: key, method: http.MethodPost, ownTokens: 8000, path: path}
}

// result is what a client has seen of a call.
type result struct {
	body []byte
	// complete says that there was a whole answer.
	complete bool
	endedAt  time.Time
	err      error
	header   http.Header
	// lastEventID is the last event that was received whole.
	lastEventID int
	sentAt      time.Time
	status      int
}

// text describes a result.
func (r result) text() string {
	if r.status == 0 {
		return fmt.Sprintf("no answer: %v", r.err)
	}
	whole := "complete"
	if !r.complete {
		whole = fmt.Sprintf("broken off: %v", r.err)
	}
	return fmt.Sprintf("%d, signature %q, retry-after %q, %d bytes, last event %d, %s", r.status,
		r.header.Get(headerSignature), r.header.Get("Retry-After"), len(r.body), r.lastEventID, whole)
}

// caller is a client with one connection, which it keeps as long as the gateway does.
type caller struct {
	address string
	br      *bufio.Reader
	conn    net.Conn
}

func newCaller(address string) *caller { return &caller{address: address} }

// connected reports whether the client has an open connection.
func (c *caller) connected() bool { return c.conn != nil }

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// do makes a call on the client's connection, or on a new one if it has none.
func (c *caller) do(k call) result {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.address, time.Second)
		if err != nil {
			return result{err: err, sentAt: time.Now(), endedAt: time.Now()}
		}
		c.conn, c.br = conn, bufio.NewReader(conn)
	}
	r := c.exchange(k)
	r.endedAt = time.Now()
	if !r.complete || strings.EqualFold(r.header.Get("Connection"), "close") {
		c.close()
	}
	return r
}

func (c *caller) exchange(k call) (r result) {
	r.sentAt = time.Now()
	if r.err = c.conn.SetDeadline(r.sentAt.Add(k.deadline)); r.err != nil {
		return r
	}
	if _, r.err = c.conn.Write(k.encode()); r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(c.br, &http.Request{Method: k.method})
	if err != nil {
		r.err = err
		return r
	}
	defer resp.Body.Close()
	r.status, r.header = resp.StatusCode, resp.Header
	if resp.Close {
		r.header.Set("Connection", "close")
	}
	r.body, r.err = io.ReadAll(resp.Body)
	r.complete = r.err == nil
	r.lastEventID = lastEvent(r.body)
	return r
}

// encode returns the bytes of a request.
func (k call) encode() []byte {
	var b bytes.Buffer
	body := "item=7&amount=1"
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n",
		k.method, k.path, callerHost, headerRequestID, k.id, headerDeadline, k.deadline.Milliseconds(), k.key)
	if k.lastEventID > 0 {
		fmt.Fprintf(&b, "Last-Event-Id: %d\r\n", k.lastEventID)
	}
	if k.outputTokens > 0 {
		fmt.Fprintf(&b, "%s: m\r\n%s: %d,%d\r\n%s: 5c1e07a2:%d,%s:%d\r\n", headerModel, headerTokenUsage, k.sharedTokens()+k.ownTokens,
			k.outputTokens, headerPrefixParts, k.sharedTokens(), k.id, k.ownTokens)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return b.Bytes()
}

// sharedTokens is the size of the part of the prompt that requests share: 200 tokens of long prompts.
func (k call) sharedTokens() int { return min(200, k.ownTokens) }

// lastEvent returns the id of the last whole event of a stream; zero if there is none.
func lastEvent(body []byte) int {
	last := 0
	for event := range bytes.SplitSeq(body, []byte("\n\n")) {
		id, ok := bytes.CutPrefix(event, []byte("id: "))
		if !ok {
			continue
		}
		line, _, _ := bytes.Cut(id, []byte("\n"))
		if n, err := strconv.Atoi(string(line)); err == nil {
			last = n
		}
	}
	return last
}

// errNoConnection means that a kept connection was expected and there is none.
var errNoConnection = errors.New("the gateway has closed the kept connection")

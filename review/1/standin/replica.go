package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// signature is the signature of all replicas.
const signature = "3e1b.07.5a2.600.0.c9f2a4d1"

// tokensPerEvent is the number of tokens that an event of a stream holds.
const tokensPerEvent = 6

// work says what a replica does with a request.
type work struct {
	// duration is the time that a plain request takes.
	duration time.Duration
	// failed says that the answer is a failure, status 500.
	failed bool
	// eventInterval is the time between two events of a stream.
	eventInterval time.Duration
	// firstDelay is the time before the first event, beyond eventInterval.
	firstDelay time.Duration
	// pauseAfter is the event after which a stream is preempted for pause; zero for none.
	pauseAfter int
	pause      time.Duration
	// stream says that the answer is a stream.
	stream bool
}

// decide returns what a replica does with a request.
type decide func(*http.Request) work

// execution is a request that a replica has run.
type execution struct {
	id     string
	tenant string
	at     time.Time
	// ended says that the replica has written its whole answer, brokenOff that the connection was
	// closed by the other side before.
	ended     bool
	brokenOff bool
	endedAt   time.Time
}

// replica is a stand-in of a sound replica.
type replica struct {
	address string
	born    int64
	id      string
	version string
	work    decide

	mu         sync.Mutex
	conns      map[net.Conn]bool
	executions map[string]*execution
	listener   net.Listener
	running    map[string]int
}

// startReplica starts a replica. Its work is decided by the given function.
func (b *bench) startReplica(id string, d decide) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{
		address: l.Addr().String(), born: time.Now().UnixMilli(), executions: map[string]*execution{}, id: id,
		conns: map[net.Conn]bool{}, listener: l, running: map[string]int{}, version: "v1", work: d,
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	b.atEnd(func() { l.Close() })
	return r, nil
}

// stop ends the replica at once.
func (r *replica) stop() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		conn.Close()
	}
}

// entry returns the replica's entry in the store.
func (r *replica) entry(service, zone string) map[string]any {
	return map[string]any{
		"service": service, "address": r.address, "zone": zone, "version": r.version, "slots": 48, "state": "ready",
		"cold_left_ms": 0, "stage": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"seq": 1, "born": r.born,
	}
}

// serve serves the requests of one connection, one at a time.
func (r *replica) serve(conn net.Conn) {
	defer conn.Close()
	r.mu.Lock()
	r.conns[conn] = true
	r.mu.Unlock()
	br := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !r.answer(conn, br, req) {
			return
		}
	}
}

// answer answers one request. It reports whether the connection can be used again.
func (r *replica) answer(conn net.Conn, br *bufio.Reader, req *http.Request) bool {
	id := req.Header.Get(headerRequestID)
	switch {
	case req.URL.Path == "/v1/report":
		return write(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s", withLength(r.report()))
	case req.URL.Path == "/health":
		return write(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", headerReplicaID, r.id, withLength(""))
	case req.Header.Get(headerExpectedReplica) != r.id:
		return write(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\n%s: %s\r\n%s", headerRequestID, id, headerReplicaID, r.id, withLength(""))
	case id == "":
		return write(conn, "HTTP/1.1 400 Bad Request\r\n%s: 1\r\n%s", headerNotExecuted, withLength(""))
	}
	w := r.work(req)
	e := r.begin(req)
	gone := watchConn(br)
	var whole bool
	if w.stream {
		whole = stream(conn, gone, req, w)
	} else {
		whole = plain(conn, gone, id, w)
	}
	r.end(e, whole)
	if whole {
		// The next request is read only once it is there.
		<-gone
	}
	return whole
}

// watchConn returns a channel that is closed when the other side has closed the connection or sent
// more.
func watchConn(br *bufio.Reader) <-chan struct{} {
	gone := make(chan struct{})
	go func() {
		// The byte stays in the buffer for the next request.
		_, _ = br.Peek(1)
		close(gone)
	}()
	return gone
}

func (r *replica) begin(req *http.Request) *execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := req.Header.Get(headerRequestID)
	e := &execution{id: id, tenant: req.Header.Get(headerTenant), at: time.Now()}
	r.executions[id] = e
	r.running[id]++
	return e
}

func (r *replica) end(e *execution, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.ended, e.brokenOff, e.endedAt = whole, !whole, time.Now()
	if r.running[e.id]--; r.running[e.id] == 0 {
		delete(r.running, e.id)
	}
}

// execution returns a copy of what the replica knows of a request.
func (r *replica) execution(id string) (execution, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.executions[id]
	if !ok {
		return execution{}, false
	}
	return *e, true
}

// plain runs a plain request. It returns false if the other side has left before.
func plain(conn net.Conn, gone <-chan struct{}, id string, w work) bool {
	if !sleep(w.duration, gone) {
		return false
	}
	status := "200 OK"
	if w.failed {
		status = "500 Internal Server Error"
	}
	return write(conn, "HTTP/1.1 %s\r\n%s: %s\r\n%s: %s\r\nKeep-Alive: timeout=10\r\n%s", status, headerRequestID, id, headerSignature, signature, withLength("done "+id))
}

// stream runs a request whose answer is a stream: it writes the events after Last-Event-Id. It
// returns false if the other side has left before.
func stream(conn net.Conn, gone <-chan struct{}, req *http.Request, w work) bool {
	id := req.Header.Get(headerRequestID)
	first, err := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	if err != nil {
		first = 0
	}
	if !write(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: 1\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n",
		headerRequestID, id, headerSignature, signature, headerWeights) {
		return false
	}
	if !sleep(w.firstDelay, gone) {
		return false
	}
	for i := first + 1; i <= eventCount(req); i++ {
		if !sleep(w.eventInterval, gone) {
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", i, id, i)
		if !write(conn, "%x\r\n%s\r\n", len(event), event) {
			return false
		}
		if i == w.pauseAfter && !sleep(w.pause, gone) {
			return false
		}
	}
	return write(conn, "0\r\n\r\n")
}

// promptTokens returns the number of tokens of a request's prompt.
func promptTokens(req *http.Request) int {
	in, _, _ := strings.Cut(req.Header.Get(headerTokenUsage), ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(in))
	if err != nil {
		return 0
	}
	return tokens
}

// eventCount returns the number of events of the answer to a request.
func eventCount(req *http.Request) int {
	_, out, _ := strings.Cut(req.Header.Get(headerTokenUsage), ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(out))
	if err != nil {
		return 0
	}
	return tokens / tokensPerEvent
}

// report returns the replica's report of its requests.
func (r *replica) report() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := [][]any{}
	for id := range r.running {
		runs = append(runs, []any{id, 1000, 1, 5})
	}
	data, err := json.Marshal(map[string]any{
		"stage": "mixed", "models": []any{}, "busy": false, "seq": 1, "queued": 0, "running": len(runs), "kv_used": 0,
		"kv_total": 88000, "handles": 0, "state": "ready", "runs": runs,
	})
	if err != nil {
		return "{}"
	}
	return string(data)
}

func withLength(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// write writes a text and reports success.
func write(conn net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(conn, format, args...)
	return err == nil
}

// sleep waits for a time. It returns false if gone is closed before.
func sleep(d time.Duration, gone <-chan struct{}) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-gone:
		return false
	}
}

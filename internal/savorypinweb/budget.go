package savorypinweb

import (
	"cmp"
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Costs and shares of connections. The costs are those of net/http.
const (
	// connCost is what a connection holds that has sent nothing: two buffers of 4 KiB, the stack of
	// its goroutine, and its socket.
	connCost = 16 << 10
	// lineCost is what a parsed header field holds besides its bytes: an entry in a map that grows,
	// a slice and two strings. 300 heads of 2,900 fields took 380 MB, with garbage.
	lineCost = 256
	// evictRatio is the fraction of a limit that is freed at once when it is exceeded, so that the
	// connections are sorted once for many new ones.
	evictRatio = 1.0 / 16
	// idleWeight multiplies the rank of an idle connection after a response. Callers may be about to
	// reuse it, so that it's closed only if the others are much younger.
	idleWeight = 1.0 / 16
	// reuseRatio is the fraction of the idle timeout after which callers no longer reuse a
	// connection.
	reuseRatio = 0.8
)

// errListenerClosed means that a listener was closed while a connection waited for room.
var errListenerClosed = errors.New("listener is closed")

// BudgetConfig configures a Budget.
type BudgetConfig struct {
	// BufferBytes is the memory of socket buffers above which new connections get small ones; zero
	// means that all do.
	BufferBytes int64
	// Bytes is the maximum memory of the connections without a complete request; zero means no
	// limit.
	Bytes int64
	// Connections is the maximum number of open connections; zero means no limit.
	Connections int
	// Evicted is called after connections were closed for a limit, if it isn't nil.
	Evicted func(Eviction)
	// HeaderTimeout limits the time from the first byte of a request head to its last one; zero
	// means that only the server's own timeout applies.
	HeaderTimeout time.Duration
	// IdleTimeout is the idle timeout of the server.
	IdleTimeout time.Duration
	// Lines is the maximum number of lines of a head; zero means 512.
	Lines int
	// Wrap returns the connection that the server uses instead of an accepted one, which its method NetConn
	// must return; nil for none.
	Wrap func(net.Conn) net.Conn
}

// Eviction describes connections that were closed for a limit.
type Eviction struct {
	// Bytes is the memory that the closed connections held, Connections their number.
	Bytes       int64
	Connections int
	// Remote is the address of the one that had held most for longest.
	Remote string
}

// Budget limits what the connections of a server hold before their requests are complete. If a limit
// is exceeded, the connections that have held most for longest are closed. Connections with a request
// in progress are never closed. It is safe for concurrent use.
type Budget struct {
	cfg BudgetConfig
	// held is the memory of the connections without a complete request.
	held atomic.Int64

	mu sync.Mutex
	// room is signalled when a connection closes or has no request in progress any more, if a new
	// connection waits for that.
	room   sync.Cond
	conns  map[*conn]struct{}
	closed bool
	// waiting says whether a new connection waits for room. It is set before the connections are
	// examined, so that each one that changes later signals.
	waiting atomic.Bool
}

// NewBudget returns a budget.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Bytes == 0 {
		cfg.Bytes = math.MaxInt64
	}
	if cfg.Connections == 0 {
		cfg.Connections = math.MaxInt
	}
	if cfg.Lines == 0 {
		cfg.Lines = defaultLines
	}
	if cfg.Wrap == nil {
		cfg.Wrap = func(nc net.Conn) net.Conn { return nc }
	}
	b := &Budget{cfg: cfg, conns: map[*conn]struct{}{}}
	b.room.L = &b.mu
	return b
}

// add adds an accepted connection. It waits while all other connections have a request in progress
// and there are too many.
func (b *Budget) add(tcp *net.TCPConn) (*conn, error) {
	c := &conn{TCPConn: tcp, budget: b}
	c.since.Store(time.Now().UnixNano())
	b.mu.Lock()
	defer b.waiting.Store(false)
	for len(b.conns) >= b.cfg.Connections && !b.closed {
		b.waiting.Store(true)
		victims := b.chooseLocked(b.excess(len(b.conns)), 0)
		if len(victims) == 0 {
			b.room.Wait()
			continue
		}
		b.mu.Unlock()
		b.evict(victims)
		b.mu.Lock()
	}
	if b.closed {
		b.mu.Unlock()
		return nil, errListenerClosed
	}
	b.conns[c] = struct{}{}
	b.mu.Unlock()
	b.charge(c, connCost)
	return c, nil
}

// excess returns the number of connections to close so that there is room for some new ones.
func (b *Budget) excess(open int) int {
	return open - b.cfg.Connections + max(1, int(evictRatio*float64(b.cfg.Connections)))
}

// charge adds n bytes to what a connection holds, and closes connections if all hold too much.
func (b *Budget) charge(c *conn, n int64) {
	c.held.Add(n)
	held := b.held.Add(n)
	if c.state.Load() == connStopped {
		// The connection may have been closed before it was charged.
		b.release(c)
		return
	}
	if held <= b.cfg.Bytes {
		return
	}
	b.mu.Lock()
	victims := b.chooseLocked(0, held-b.cfg.Bytes+int64(evictRatio*float64(b.cfg.Bytes)))
	b.mu.Unlock()
	b.evict(victims)
}

// reserve adds n bytes to what the connections hold, unless that is too much. The caller returns them
// by subtracting them from held.
func (b *Budget) reserve(n int64) bool {
	if b.held.Add(n) <= b.cfg.Bytes {
		return true
	}
	b.held.Add(-n)
	return false
}

// crowdedRatio is the fraction of the memory above which heads of more than defaultLines lines are refused.
// Parsing them leaves garbage of many times their size: 1,600 clients took a gateway of 112 MB to 181 MB.
const crowdedRatio = 0.25

// crowded reports whether the connections hold so much that heads of many lines are refused.
func (b *Budget) crowded() bool {
	return float64(b.held.Load()) > crowdedRatio*float64(b.cfg.Bytes)
}

// release returns what a connection holds to the budget.
func (b *Budget) release(c *conn) {
	if n := c.held.Swap(0); n != 0 {
		b.held.Add(-n)
	}
}

// candidate is a connection that may be closed.
type candidate struct {
	conn *conn
	held int64
	rank float64
}

// chooseLocked chooses the connections to close so that at least a number of them are closed and at
// least a number of bytes are freed. They can't begin a request any more. The caller holds b.mu.
func (b *Budget) chooseLocked(connections int, bytes int64) []candidate {
	now := time.Now().UnixNano()
	candidates := make([]candidate, 0, len(b.conns))
	for c := range b.conns {
		if c.evictable() {
			held := c.held.Load()
			candidates = append(candidates, candidate{conn: c, held: held, rank: b.rank(c, held, now)})
		}
	}
	slices.SortFunc(candidates, func(x, y candidate) int { return cmp.Compare(y.rank, x.rank) })
	victims := candidates[:0]
	for _, v := range candidates {
		if len(victims) >= connections && bytes <= 0 {
			break
		}
		if !v.conn.stop() {
			continue
		}
		bytes -= v.held
		victims = append(victims, v)
	}
	return victims
}

// rank returns what a connection holds, multiplied by the time for which it has held it.
func (b *Budget) rank(c *conn, held, now int64) float64 {
	age := time.Duration(now - c.since.Load())
	rank := float64(held) * age.Seconds()
	if c.idle() && age < time.Duration(reuseRatio*float64(b.cfg.IdleTimeout)) {
		rank *= idleWeight
	}
	return rank
}

// evict closes stopped connections and reports them.
func (b *Budget) evict(victims []candidate) {
	if len(victims) == 0 {
		return
	}
	e := Eviction{Connections: len(victims), Remote: victims[0].conn.RemoteAddr().String()}
	for _, v := range victims {
		e.Bytes += v.held
		// The peer may have closed it already.
		_ = v.conn.Close()
	}
	if b.cfg.Evicted != nil {
		b.cfg.Evicted(e)
	}
}

// remove removes a closed connection.
func (b *Budget) remove(c *conn) {
	b.release(c)
	b.mu.Lock()
	delete(b.conns, c)
	b.room.Broadcast()
	b.mu.Unlock()
}

// signal wakes new connections that wait for room, after a request has ended. There are none unless
// the limit is reached.
func (b *Budget) signal() {
	if !b.waiting.Load() {
		return
	}
	b.mu.Lock()
	b.room.Broadcast()
	b.mu.Unlock()
}

// close wakes the new connections that wait for room.
func (b *Budget) close() {
	b.mu.Lock()
	b.closed = true
	b.room.Broadcast()
	b.mu.Unlock()
}

// Held returns the number of open connections and the memory of those without a complete request.
func (b *Budget) Held() (connections int, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.conns), b.held.Load()
}

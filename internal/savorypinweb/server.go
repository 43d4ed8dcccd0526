package savorypinweb

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// freeFields is the number of different header fields of a request in progress that aren't in the
	// budget. 16 KiB of small fields hold 0.7 MB.
	freeFields = 256
	// defaultLines is the default maximum number of lines of a head. Parsing of longer ones ends early:
	// with 300 heads of 60 KiB of small fields, the garbage of those that were closed took an entry to
	// 176 MB, though all open ones held 16 MB at most.
	defaultLines = 512
	// refusalTimeout is how long a caller may take to read the refusal.
	refusalTimeout = 5 * time.Second
	// bufferBytes is the size of each of the two buffers of a socket. The kernel uses up to twice as
	// much. Without a size it lets them grow to some megabytes.
	bufferBytes = 64 << 10
	// smallBufferBytes is the size if many connections are open.
	smallBufferBytes = 16 << 10
	// bufferCost is the memory of the two buffers.
	bufferCost = 2 * 2 * bufferBytes
)

// Serve serves connections within a budget until the listener or the server is closed. Handlers of
// requests with a body have to call Begin when they have read it.
func (b *Budget) Serve(server *http.Server, l net.Listener) error {
	server.ConnState = trackState
	base := server.ConnContext
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if base != nil {
			ctx = base(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, budgetConn(nc))
	}
	server.Handler = b.checkHead(server.Handler)
	return server.Serve(&listener{Listener: l, budget: b, wide: int(b.cfg.BufferBytes / bufferCost)})
}

// checkHead returns a handler that refuses heads with too many fields for their number or for the budget,
// calls Begin for requests without a body, and charges the heads of others.
func (b *Budget) checkHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := len(r.Header)
		if n > b.cfg.Lines {
			refuseFields(w, r, http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		if n > freeFields {
			cost := int64(2 * lineCost * n)
			if !b.reserve(cost) {
				refuseFields(w, r, http.StatusServiceUnavailable)
				return
			}
			defer b.held.Add(-cost)
		}
		c, _ := r.Context().Value(connKey{}).(*conn)
		switch {
		case c == nil:
		case r.ContentLength != 0:
			c.awaitBody()
		case !c.begin():
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

// refuseFields refuses a request for its many header fields. It drops them, as they would stay in memory
// until the response was read.
func refuseFields(w http.ResponseWriter, r *http.Request, status int) {
	r.Header = http.Header{}
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalTimeout))
	http.Error(w, "too many header fields", status)
}

// Listen listens on a TCP address. The buffers of the connections have a fixed size, as they count
// towards the memory of the process.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return setBuffers(raw, bufferBytes)
	}}
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func setBuffers(raw syscall.RawConn, n int) error {
	var err error
	if ctlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, n)
		if err == nil {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, n)
		}
	}); ctlErr != nil {
		return ctlErr
	}
	return err
}

// listener accepts connections within a budget.
type listener struct {
	net.Listener

	budget *Budget
	// wide is the number of open connections above which new ones get small buffers.
	wide int
}

// Accept accepts the next connection for which there is room.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		return nc, nil
	}
	if open, _ := l.budget.Held(); open >= l.wide {
		l.narrow(tcp)
	}
	c, err := l.budget.add(tcp)
	if err != nil {
		// The listener is closed too.
		_ = tcp.Close()
		return nil, err
	}
	return l.budget.cfg.Wrap(c), nil
}

// narrow gives a connection small buffers.
func (l *listener) narrow(tcp *net.TCPConn) {
	raw, err := tcp.SyscallConn()
	if err == nil {
		// The connection works with other sizes too.
		_ = setBuffers(raw, smallBufferBytes)
	}
}

// Close closes the listener, also while a connection waits for room.
func (l *listener) Close() error {
	l.budget.close()
	return l.Listener.Close()
}

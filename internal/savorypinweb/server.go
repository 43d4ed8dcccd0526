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
	// maxFields is the maximum number of different header fields of a request. The memory of a request
	// in progress isn't in the budget, so that 16 KiB of small fields would hold 0.7 MB for as long.
	maxFields = 256
	// maxLines is the maximum number of lines of a head that doesn't arrive in one read. Parsing of
	// longer ones ends early: with 300 heads of 60 KiB of small fields, the garbage of those that were
	// closed took an entry to 176 MB, though all open ones held 16 MB at most.
	maxLines = 2 * maxFields
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
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, nc)
	}
	server.Handler = checkHead(server.Handler)
	return server.Serve(&listener{Listener: l, budget: b, wide: int(b.cfg.BufferBytes / bufferCost)})
}

// checkHead returns a handler that refuses heads with too many fields, calls Begin for requests without a
// body, and charges the heads of others.
func checkHead(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.Header) > maxFields {
			// The fields would stay in memory until the response was read.
			r.Header = http.Header{}
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(refusalTimeout))
			http.Error(w, "too many header fields", http.StatusRequestHeaderFieldsTooLarge)
			return
		}
		c, ok := r.Context().Value(connKey{}).(*conn)
		switch {
		case !ok:
		case r.ContentLength != 0:
			c.awaitBody()
		case !c.begin():
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
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
	return c, nil
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

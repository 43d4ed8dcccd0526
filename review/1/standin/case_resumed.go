package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func init() { cases["resumed"] = playResumed }

// resumedStreams is the number of streams whose connections are reset.
const resumedStreams = 5

// resumedTokens is the size of an answer, and resumedEvents the number of its events.
const (
	resumedTokens = 30 * tokensPerEvent
	resumedEvents = resumedTokens / tokensPerEvent
)

// playResumed resets the connections of clients after the last event of their streams and before the
// end, and lets them resume as the protocol says.
func playResumed(b *bench) (verdict, error) {
	d, err := b.startDeployment(configuration{version: 1, keys: []string{keyKept}},
		func(*http.Request) work { return work{stream: true, eventInterval: eventInterval} })
	if err != nil {
		return verdict{}, err
	}
	unsigned, resumed, whole := 0, 0, 0
	for range resumedStreams {
		address, err := b.startResetter(d.gateway.front)
		if err != nil {
			return verdict{}, err
		}
		c := newCaller(address)
		k := newCall(pathStream, keyKept, 25*time.Second)
		k.outputTokens = resumedTokens
		r := c.do(k)
		b.logf("stream %s: %s", k.id, r.text())
		for attempt := 0; !r.complete && attempt < 2; attempt++ {
			// A client's retry is a new request on a new connection.
			again := newCall(pathStream, keyKept, 25*time.Second)
			again.outputTokens, again.lastEventID = resumedTokens, r.lastEventID
			c = newCaller(d.gateway.front)
			last := r.lastEventID
			r = c.do(again)
			resumed++
			e, ran := d.execution(again.id)
			b.logf("resumed after event %d as %s: %s; the replica ran it: %t, and wrote its whole signed answer: %t", last, again.id, r.text(), ran, e.ended)
		}
		c.close()
		if r.complete {
			whole++
		}
		if r.complete && r.status/100 == 2 && r.header.Get(headerSignature) == "" {
			unsigned++
		}
	}
	return verdict{broken: unsigned > 0, text: fmt.Sprintf(
		"%d streams, %d resumed, %d complete in the end; %d successes without the replica's signature", resumedStreams, resumed, whole, unsigned)}, nil
}

// startResetter starts a proxy in front of a gateway. With trouble it resets each connection once the
// last event of a stream has passed.
func (b *bench) startResetter(target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	b.atEnd(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go b.relay(conn, target)
		}
	}()
	return l.Addr().String(), nil
}

func (b *bench) relay(client net.Conn, target string) {
	defer client.Close()
	server, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	go func() {
		// The copy ends with the connection.
		_, _ = io.Copy(server, client)
	}()
	lastID := fmt.Appendf(nil, "id: %d\n", resumedEvents)
	var seen []byte
	buf := make([]byte, 4<<10)
	for {
		n, err := server.Read(buf)
		if err != nil {
			return
		}
		seen = append(seen, buf[:n]...)
		forward := buf[:n]
		cut := -1
		if i := bytes.Index(seen, lastID); b.trouble && i >= 0 {
			if end := bytes.Index(seen[i:], []byte("\n\n")); end >= 0 {
				cut = i + end + 2
			}
		}
		if cut >= 0 {
			forward = forward[:max(0, n-(len(seen)-cut))]
		}
		if _, err := client.Write(forward); err != nil {
			return
		}
		if cut >= 0 {
			b.logf("the client's connection is reset after the last event")
			time.Sleep(20 * time.Millisecond)
			if tcp, ok := client.(*net.TCPConn); ok {
				// Without a linger time, closing sends a reset.
				_ = tcp.SetLinger(0)
			}
			return
		}
	}
}

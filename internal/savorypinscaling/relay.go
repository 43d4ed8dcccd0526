package savorypinscaling

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinmember"
)

// Sizes of the measurement of streams.
const (
	// relayStreams is the number of streams of an entry per member. At 320 members
	// an entry has 2,140 streams: 950,000 tokens per second over 20 entries, at
	// 45 ms per token of a stream.
	relayStreams = 6.69
	// relayTokens is the number of tokens in a stream.
	relayTokens = 200
	// relayTimeout is the timeout of all operations of the measurement.
	relayTimeout = time.Minute
)

// Relay measures streams of tokens between two transports over the loopback
// interface, as many as an entry has at a number of members. Each token has its
// own frame, as it does when engines are slower than links. The processor time is
// that of both ends, so half of it is an entry's. Relay returns nil if the streams
// can't be opened.
func Relay(members int) []Row {
	streams := int(relayStreams * float64(members))
	var received atomic.Int64
	server, address, err := startRelayServer()
	if err != nil {
		return nil
	}
	defer server.Close()
	client := savorypinmember.NewTransport(relayConfig("entry", func(n int) { received.Add(int64(n)) }, nil))
	defer client.Close()
	before := heapBytes()
	opened, err := openStreams(client, address, streams)
	if err != nil {
		return nil
	}
	memory := heapBytes() - before
	received.Store(0)
	cpu := processorTime()
	readStreams(opened)
	cpu = processorTime() - cpu
	tokens := float64(streams * relayTokens)
	rows := []Row{
		{Name: "streams of an entry", Unit: "streams", Value: float64(streams)},
		{Name: "processor, both ends", Unit: "us/token", Value: float64(cpu.Microseconds()) / tokens},
		{Name: "payload", Unit: "B/token", Value: float64(received.Load()) / tokens},
		{Name: "memory, both ends", Unit: "kB/stream", Value: float64(memory) / float64(streams) / 1000},
	}
	for i := range rows {
		rows[i].Members = members
	}
	return rows
}

// relayConfig returns the configuration of one of the transports. If countReceived
// is set, it is called with the number of bytes received.
func relayConfig(name string, countReceived func(int), handlers map[savorypinmember.FrameKind]savorypinmember.Handler) savorypinmember.TransportConfig {
	cfg := savorypinmember.TransportConfig{
		Handlers:         handlers,
		HandshakeTimeout: relayTimeout,
		IdleProbeAfter:   relayTimeout,
		Key:              []byte("the key of this measurement"),
		ProbeAfter:       relayTimeout,
		Self:             savorypinmember.Hello{Name: name},
		ProbeTimeout:     relayTimeout,
	}
	if countReceived != nil {
		cfg.CountIn = func(_ savorypinmember.Hello, n int) { countReceived(n) }
	}
	return cfg
}

// startRelayServer starts a transport whose streams send tokens as soon as the
// reader has acknowledged the start. It returns the transport and its address.
func startRelayServer() (*savorypinmember.Transport, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := savorypinmember.NewTransport(relayConfig("agent", nil, map[savorypinmember.FrameKind]savorypinmember.Handler{
		savorypinmember.FrameStart: func(ctx context.Context, s *savorypinmember.Stream, _ savorypinmember.Frame) error {
			if _, err := s.Receive(ctx); err != nil {
				return nil //nolint:nilerr // The reader has closed the stream.
			}
			return sendTokens(ctx, s)
		},
	}))
	go func() { _ = server.Serve(ln) }()
	return server, ln.Addr().String(), nil
}

func sendTokens(ctx context.Context, s *savorypinmember.Stream) error {
	msg := savorypinmember.Tokens{Attempt: savorypin.AttemptID{Number: 1, Term: 1}, Tokens: []savorypin.Token{{ID: 70_000, Text: "word "}}}
	for i := range relayTokens {
		msg.First = i
		if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
			return err
		}
	}
	// Waits until the reader closes the stream.
	_, _ = s.Receive(ctx)
	return nil
}

// openStreams opens n streams that don't send tokens yet.
func openStreams(t *savorypinmember.Transport, address string, n int) ([]*savorypinmember.Stream, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	conn, err := t.Get(ctx, address)
	if err != nil {
		return nil, err
	}
	var streams []*savorypinmember.Stream
	for range n {
		s, err := conn.Open()
		if err != nil {
			return nil, err
		}
		if err := s.Send(ctx, savorypinmember.FrameStart, savorypinmember.Empty{}); err != nil {
			return nil, err
		}
		streams = append(streams, s)
	}
	return streams, nil
}

// readStreams makes all streams send their tokens and reads them to the end.
func readStreams(streams []*savorypinmember.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range streams {
		wg.Go(func() {
			defer s.Close()
			if err := s.Send(ctx, savorypinmember.FrameAck, savorypinmember.Ack{}); err != nil {
				return
			}
			for range relayTokens {
				f, err := s.Receive(ctx)
				if err != nil {
					return
				}
				if _, err := savorypinmember.Decode[savorypinmember.Tokens](f); err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
}

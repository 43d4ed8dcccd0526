package savorypinslopes

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
	// relayStreams gives an entry 2,140 streams at 320 members: 950,000 tokens
	// a second over 20 entries at 45 ms a token.
	relayStreams = 6.69
	// relayTokens is the number of tokens of a stream.
	relayTokens = 200
	// relayWait bounds everything that the measurement waits for.
	relayWait = time.Minute
)

// Relay measures streams of tokens between two transports over loopback, as
// many as an entry has at a number of members. Each token travels in a frame of
// its own, as it does when engines are slower than links. The processor time is
// that of both ends, so that half of it is an entry's.
func Relay(members int) []Row {
	streams := int(relayStreams * float64(members))
	var received atomic.Int64
	server, address, err := relayServer()
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

func relayConfig(name string, in func(int), handlers map[savorypinmember.FrameKind]savorypinmember.Handler) savorypinmember.TransportConfig {
	cfg := savorypinmember.TransportConfig{
		Handlers:         handlers,
		HandshakeTimeout: relayWait,
		IdleProbeAfter:   relayWait,
		Key:              []byte("the key of this measurement"),
		ProbeAfter:       relayWait,
		Self:             savorypinmember.Hello{Name: name},
		SilentAfter:      relayWait,
	}
	if in != nil {
		cfg.CountIn = func(_ savorypinmember.Hello, n int) { in(n) }
	}
	return cfg
}

// relayServer serves streams of tokens that begin at the reader's word.
func relayServer() (*savorypinmember.Transport, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := savorypinmember.NewTransport(relayConfig("agent", nil, map[savorypinmember.FrameKind]savorypinmember.Handler{
		savorypinmember.FrameStart: func(ctx context.Context, s *savorypinmember.Stream, _ savorypinmember.Frame) error {
			if _, err := s.Receive(ctx); err != nil {
				return nil //nolint:nilerr // The reader has gone.
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
	// The reader closes the stream.
	_, _ = s.Receive(ctx)
	return nil
}

func openStreams(t *savorypinmember.Transport, address string, n int) ([]*savorypinmember.Stream, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relayWait)
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

// readStreams lets all streams begin and reads them to their ends.
func readStreams(streams []*savorypinmember.Stream) {
	ctx, cancel := context.WithTimeout(context.Background(), relayWait)
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

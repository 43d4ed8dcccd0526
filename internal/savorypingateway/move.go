package savorypingateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"savorypin/internal/savorypinfleet"
	"savorypin/internal/savorypinpool"
)

// Settings of moves.
const (
	// moveTimeout bounds the time that a move may take; it is far shorter than the
	// longest pause on time.
	moveTimeout = 400 * time.Millisecond
	// askBytes bounds the size of an engine's answer to the gateway itself.
	askBytes = 1 << 20
)

// move is the move of a run from the engine that has read its prompt to one
// that reads none, so that the prompts of others do not slow it down.
type move struct {
	done   chan struct{}
	memory *savorypinfleet.Memory
	target *savorypinfleet.Endpoint
}

// result waits for the end of a move and returns the engine that goes on and the
// memory that it has; nil if the run was not moved.
func (m *move) result() (*savorypinfleet.Endpoint, *savorypinfleet.Memory) {
	if m == nil {
		return nil, nil
	}
	<-m.done
	if m.memory == nil {
		return nil, nil
	}
	return m.target, m.memory
}

// startMove begins to move the run of an attempt if another engine suits better.
// The engine ends the answer when the run has stopped.
func (s *stream) startMove(a savorypinfleet.Attempt) {
	g := s.gateway
	if !s.req.service.Moves() || !s.req.route.Repeatable() || s.sent+1 >= s.req.route.MaxAttempts() {
		return
	}
	target := g.picker.ChooseGenerator(a.Endpoint, g.query(s.req, s.tried))
	if target == nil {
		return
	}
	m := &move{done: make(chan struct{}), target: target}
	s.move = m
	go func() {
		defer close(m.done)
		handle, err := g.moveRun(a.Endpoint, savorypinfleet.Move{ID: s.req.call.ID, Target: target})
		if err != nil {
			g.log.Debug("run not moved", "id", s.req.call.ID, "endpoint", a.Endpoint.ID(), "err", err)
			return
		}
		m.memory = &savorypinfleet.Memory{Address: a.Endpoint.Address(), Handle: handle}
	}()
}

// moveRun asks an engine to stop a run and to copy its memory. It returns the
// handle of the copy.
func (g *Gateway) moveRun(e *savorypinfleet.Endpoint, m savorypinfleet.Move) (string, error) {
	body, err := g.cfg.Codec.EncodeMove(m)
	if err != nil {
		return "", err
	}
	deadline := time.Now().Add(moveTimeout)
	conn, err := g.pool.Get(context.Background(), e.Address(), g.connectTimeout(e))
	if err != nil {
		return "", err
	}
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	request := savorypinpool.Request{Body: body, Header: header, Host: e.Address(), Method: http.MethodPost, URI: g.cfg.Codec.MovePath}
	data, keepAlive, err := g.ask(conn, request, deadline)
	if err != nil {
		conn.Close()
		return "", fmt.Errorf("move run %s: %w", m.ID, err)
	}
	g.pool.Put(conn, keepAlive)
	moved, err := g.cfg.Codec.DecodeMoved(data)
	return moved.Handle, err
}

// ask sends a request of the gateway's own and returns the body of the answer
// and how long the connection may stay idle.
func (g *Gateway) ask(conn *savorypinpool.Conn, r savorypinpool.Request, deadline time.Time) ([]byte, time.Duration, error) {
	if err := conn.Send(r, deadline); err != nil {
		return nil, 0, err
	}
	if err := conn.SetReadDeadline(deadline); err != nil {
		return nil, 0, err
	}
	resp, err := conn.Receive(r.Method)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, askBytes))
	if err != nil {
		return nil, 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	return data, g.cfg.Codec.DecodeReply(resp).KeepAlive, nil
}

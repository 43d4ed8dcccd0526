package savorypinentry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypincaller"
	"savorypin/internal/savorypindaemon"
	"savorypin/internal/savorypinentry"
	"savorypin/internal/savorypinmember"
	"savorypin/internal/savorypinstandin"
)

// eventTimeout bounds the wait for asynchronous events.
const eventTimeout = time.Minute

const (
	testService = "assistant"
	testVersion = "assistant-v1"
)

// testCluster is an entry and an agent. The agent has no engines; a handler answers
// FrameStart in their place.
type testCluster struct {
	entry *savorypinentry.Entry
}

// fastEngine returns the state of an engine that is fast enough never to be the
// bottleneck.
func fastEngine(name string) savorypin.EndpointState {
	return savorypin.EndpointState{
		Healthy: true, Name: name, PrefillPerSecond: 1e9, Service: testService, Slots: 10_000,
		TokensPerSecond: 1e9, Type: savorypin.EndpointEngine, Versions: []string{testVersion},
	}
}

func newTestCluster(tb testing.TB, start savorypinmember.Handler, engines ...savorypin.EndpointState) *testCluster {
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	platform := httptest.NewServer(savorypinstandin.NewPlatform())
	tb.Cleanup(platform.Close)
	logger := log.New(io.Discard)
	settings := savorypindaemon.Settings{
		AnswerBytes: 1 << 40, Domain: "d1", HTTP: "127.0.0.1:0", Key: "key-of-the-benchmark", Listen: "127.0.0.1:0",
		Name: "entry-0", Platform: platform.URL, Region: "r1", LeaseDuration: time.Minute, WeightLoads: 1,
	}
	entry, err := savorypinentry.New(savorypinentry.Config{AnonymousOrganisation: "shops", Logger: logger, Settings: settings})
	if err != nil {
		tb.Fatal(err)
	}
	settings.Name = "agent-0"
	settings.Seeds = []string{entry.Daemon().Self().Address}
	agent, err := savorypindaemon.New(savorypindaemon.Config{
		Endpoints: func() []savorypin.EndpointState { return engines },
		Logger:    logger, Role: savorypin.RoleAgent, Settings: settings,
	})
	if err != nil {
		tb.Fatal(err)
	}
	agent.Handle(savorypinmember.FrameStart, start)
	var wg sync.WaitGroup
	wg.Go(func() { _ = entry.Run(ctx, savorypincaller.NewHandler(entry)) })
	wg.Go(func() {
		_ = agent.Run(ctx, nil, savorypindaemon.Work{HandOver: func() {}, Idle: func() bool { return true }})
	})
	tb.Cleanup(func() { cancel(); wg.Wait() })
	c := &testCluster{entry: entry}
	c.configure(tb)
	return c
}

// configure configures the service and its version, and waits until the entry serves
// generations.
func (c *testCluster) configure(tb testing.TB) {
	for key, spec := range map[savorypin.Key]any{
		{Kind: savorypin.KindService, Name: testService}: savorypin.ServiceSpec{Type: savorypin.ServiceGeneration, Version: testVersion},
		{Kind: savorypin.KindVersion, Name: testVersion}: savorypin.VersionSpec{Model: "assistant-1", Service: testService},
	} {
		data, err := json.Marshal(spec)
		if err != nil {
			tb.Fatal(err)
		}
		o := savorypin.Object{At: time.Now(), By: "bench", Key: key, Order: key.Name, Spec: data}
		if _, err := c.entry.Daemon().Platform().Create(context.Background(), o); err != nil {
			tb.Fatal(err)
		}
	}
	for range 500 {
		if r, err := c.entry.Start(request(1)); err == nil {
			readAnswer(tb, r)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	tb.Fatal("entry did not serve a generation after 500 tries")
}

func request(tokens int) savorypinentry.Request {
	return savorypinentry.Request{Generation: savorypin.Generation{MaxTokens: tokens, Prompt: "a prompt", Service: testService}}
}

// produce sends one token per frame, within the window of the stream.
func produce(ctx context.Context, s *savorypinmember.Stream, first savorypinmember.Frame) error {
	start, err := savorypinmember.Decode[savorypinmember.Start](first)
	if err != nil {
		return err
	}
	id := start.Attempt.ID
	acked := 0
	batch := make([]savorypin.Token, 1)
	msg := savorypinmember.Tokens{Attempt: id, Tokens: batch}
	for i := range start.Generation.MaxTokens {
		for i >= acked+start.Window {
			f, err := s.Receive(ctx)
			if err != nil {
				return err
			}
			ack, err := savorypinmember.Decode[savorypinmember.Ack](f)
			if err != nil {
				return err
			}
			acked = ack.Next
		}
		batch[0] = savorypin.Token{ID: int32(i), Text: "word "}
		msg.First = i
		if err := s.Send(ctx, savorypinmember.FrameTokens, &msg); err != nil {
			return err
		}
	}
	done := savorypinmember.Done{Attempt: id, Length: start.Generation.MaxTokens, Reason: savorypin.FinishLength}
	if err := s.Send(ctx, savorypinmember.FrameDone, &done); err != nil {
		return err
	}
	_, err = s.Receive(ctx)
	return err
}

// readAnswer reads an answer to its end and returns the number of tokens.
func readAnswer(tb testing.TB, r *savorypinentry.Relay) int {
	reader := r.Open(savorypin.NewEventID(r.Generation().ID, 0, savorypin.AttemptID{}))
	defer reader.Close()
	n := 0
	for {
		tokens, end, err := reader.Next(context.Background())
		if err != nil || (end != nil && end.Err != nil) {
			tb.Errorf("answer failed after %d tokens: error %v, end %v", n, err, end)
			return n
		}
		if end != nil {
			return n
		}
		n += len(tokens)
	}
}

package main

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["preempted"] = playPreempted }

const (
	// preemptedAfter is the event after which a run is preempted.
	preemptedAfter = 40
	// preemption is the time to read a prompt of 8,200 tokens again, at 8 tokens a millisecond.
	preemption = 1025 * time.Millisecond
	// onceTokens is the size of an answer that may not be resumed.
	onceTokens = 100 * tokensPerEvent
)

// playPreempted stops the gateway as planned while it relays streams that may not be resumed, and
// whose runs are preempted once.
func playPreempted(b *bench) (verdict, error) {
	d, err := b.startDeployment(configuration{version: 1, keys: []string{keyKept}}, func(req *http.Request) work {
		w := work{stream: true, eventInterval: eventInterval}
		if b.trouble && req.URL.Path == pathOnce {
			w.pauseAfter, w.pause = preemptedAfter, preemption
		}
		return w
	})
	if err != nil {
		return verdict{}, err
	}
	callers, err := keepConnections(d.gateway.front)
	if err != nil {
		return verdict{}, err
	}
	calls := make([]*pending, 0, len(callers))
	for _, c := range callers {
		k := newCall(pathOnce, keyKept, 25*time.Second)
		k.outputTokens = onceTokens
		calls = append(calls, begin(c, k))
	}
	time.Sleep(500 * time.Millisecond)
	signalled := time.Now()
	if b.trouble {
		if err := d.gateway.signal(syscall.SIGTERM); err != nil {
			return verdict{}, err
		}
	}
	return b.judgeLost(d, calls, signalled, excusedDelay), nil
}

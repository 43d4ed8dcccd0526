package savorypingateway

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinevent"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinpick"
	"savorypin/internal/savorypinplatform"
)

// promptsKey is the key of the object that holds the prompts of all running streams. Gateways
// read it when they start, as all of them may have stopped at once.
var promptsKey = savorypin.Key{Kind: "savorypin-prompts", Name: "running"}

// promptsWriteInterval is the interval at which the prompts are written: streams last for
// several seconds, and a single write for all gateways costs little.
const promptsWriteInterval = 1500 * time.Millisecond

// promptsSpec is the spec of the object with the key promptsKey.
type promptsSpec struct {
	Prompts []savorypinpick.Prompt `json:"prompts"`
}

// persistPrompts loads the prompts that were last written to the store, and then writes those of
// the running streams periodically while this gateway is the first of the readers.
func (g *Gateway) persistPrompts(ctx context.Context) error {
	g.log.RunRecovered("recall prompts", func() { g.loadPrompts(ctx) })
	savorypinloop.Every(ctx, promptsWriteInterval, func() {
		if g.isFirstReader() && !g.store.breaker.Failing() {
			g.log.RunRecovered("write prompts", func() { g.writePrompts(ctx) })
		}
	})
	return ctx.Err()
}

func (g *Gateway) loadPrompts(ctx context.Context) {
	o, err := g.store.client.GetStale(ctx, promptsKey)
	if errors.Is(err, savorypinplatform.ErrNotFound) {
		return
	}
	if err != nil {
		g.log.Debug("reading prompts from the store failed", "err", err)
		return
	}
	var spec promptsSpec
	if err := json.Unmarshal(o.Spec, &spec); err != nil {
		g.log.Emit(savorypinevent.Ignored{Err: err, What: "prompts of running streams"})
		return
	}
	g.picker.AddPrompts(spec.Prompts)
}

func (g *Gateway) writePrompts(ctx context.Context) {
	spec := promptsSpec{Prompts: g.picker.RecentPrompts(2 * promptsWriteInterval)}
	if len(spec.Prompts) == 0 {
		return
	}
	data, err := json.Marshal(spec)
	if err != nil {
		g.log.Emit(savorypinevent.Process{Err: err, What: "prompts not written"})
		return
	}
	o := savorypin.Object{Key: promptsKey, Spec: data}
	if err := g.store.put(ctx, o); err != nil {
		// The next write replaces this one.
		g.log.Debug("writing prompts to the store failed", "err", err)
	}
}

package savorypingateway

import (
	"context"
	"time"

	"savorypin/internal/savorypin"
	"savorypin/internal/savorypinloop"
	"savorypin/internal/savorypinpick"
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

// loadPrompts adds the prompts that were last written.
func (g *Gateway) loadPrompts(ctx context.Context) {
	if spec, found, _ := readShared[promptsSpec](ctx, g, promptsKey); found {
		g.picker.AddPrompts(spec.Prompts)
	}
}

// writePrompts replaces the prompts in the store. The next write makes up for one that fails.
func (g *Gateway) writePrompts(ctx context.Context) {
	spec := promptsSpec{Prompts: g.picker.RecentPrompts(2 * promptsWriteInterval)}
	if len(spec.Prompts) > 0 {
		g.writeShared(ctx, promptsKey, spec)
	}
}

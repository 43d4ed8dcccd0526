package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["large-heads"] = largeHeads }

// Parameters of the case: the heads are of 19,7 KB, where max_header_bytes is 16,384.
const (
	largeFields     = 250
	largeValueBytes = 70
	largeFor        = 30 * time.Second
)

// largeHeads lets clients send heads over the limit, and checks that the gateway stays within the memory
// of its machine.
func largeHeads(r *run) error {
	c := &crowd{}
	if r.trouble {
		c.fields = fields(largeFields, largeValueBytes)
	}
	g, err := r.gatewayFor(c)
	if err != nil {
		return err
	}
	mostUsed := g.watchUsage()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c.start(ctx, g)
	o := r.askOrdinary(ctx, g, largeFor)
	c.record(r)
	most := mostUsed()
	r.recordf("ordinary clients: %s", o)
	r.recordf("gateway: most memory used: %s of %d MB", most, crowdMemoryMB)
	if used := most.resident + most.unread; used > crowdMemoryMB<<20 {
		return fmt.Errorf("%w: Fault: the process used %d MB, of %d", errBroken, used>>20, crowdMemoryMB)
	}
	return nil
}

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

func init() { cases["revoked"] = playRevoked }

const (
	// cutDuration is how long the gateway is cut off from the store each time, and cutPause the time
	// before and after it.
	cutDuration = 5500 * time.Millisecond
	cutPause    = 3500 * time.Millisecond
	// ackDelay is the time between the beginning of a cut and the change.
	ackDelay = 100 * time.Millisecond
	// furtherRoutes is by how many routes the configuration has grown.
	furtherRoutes = 1400
	// revokedCallers is the number of clients that use a key that is taken away, and callInterval the
	// time between two requests of one of them.
	revokedCallers = 80
	callInterval   = 100 * time.Millisecond
	// saleDuration is the work of a sale.
	saleDuration = 15 * time.Millisecond
)

// revokedKeys are the keys that are taken away one after the other.
var revokedKeys = []string{"wsjnbanfqasnmgkcuyj8", "b7pxk2uwmh4tq9rzv3ca", "e5ydn8sgj6flw1oi0vtk"}

// sale is a request with a key that is taken away.
type sale struct {
	call   call
	result result
}

// playRevoked takes keys away while the gateway is cut off from the store, and lets clients go on with
// these keys.
func playRevoked(b *bench) (verdict, error) {
	c := configuration{version: 1, keys: append([]string{keyKept}, revokedKeys...), further: furtherRoutes}
	d, err := b.startDeployment(c, func(*http.Request) work { return work{duration: saleDuration} })
	if err != nil {
		return verdict{}, err
	}
	total := verdict{}
	for _, key := range revokedKeys {
		stop := make(chan struct{})
		sales := callWithKey(d.gateway.front, key, stop)
		time.Sleep(cutPause)
		if b.trouble {
			d.store.setCut(true)
			b.logf("the gateway is cut off from the store")
		}
		time.Sleep(ackDelay)
		c.version += 3
		c.keys = slices.DeleteFunc(slices.Clone(c.keys), func(k string) bool { return k == key })
		if err := d.store.put("config", "main", c.spec()); err != nil {
			return verdict{}, err
		}
		acknowledged := time.Now()
		b.logf("configuration %d, without the key %s, is acknowledged", c.version, key)
		time.Sleep(cutDuration - ackDelay)
		d.store.setCut(false)
		b.logf("the store answers the gateway")
		time.Sleep(cutPause)
		close(stop)
		v := b.judgeRevoked(d, sales(), acknowledged)
		total.broken = total.broken || v.broken
		total.text += v.text
	}
	return total, nil
}

// callWithKey makes calls with a key until stop is closed. The returned function waits for their
// results.
func callWithKey(address, key string, stop <-chan struct{}) func() []sale {
	var mu sync.Mutex
	var sales []sale
	var group sync.WaitGroup
	for i := range revokedCallers {
		group.Go(func() {
			c := newCaller(address)
			defer c.close()
			time.Sleep(time.Duration(i) * callInterval / revokedCallers)
			ticker := time.NewTicker(callInterval)
			defer ticker.Stop()
			for {
				select {
				case <-stop:
					return
				case <-ticker.C:
				}
				k := newCall(pathSale, key, 2*time.Second)
				r := c.do(k)
				mu.Lock()
				sales = append(sales, sale{call: k, result: r})
				mu.Unlock()
			}
		})
	}
	return func() []sale {
		group.Wait()
		return sales
	}
}

// judgeRevoked counts the requests that were sent later than the bound after the acknowledgement and
// have run.
func (b *bench) judgeRevoked(d *deployment, sales []sale, acknowledged time.Time) verdict {
	byStatus := map[int]int{}
	late, broken := 0, 0
	for _, s := range sales {
		after := s.result.sentAt.Sub(acknowledged)
		if after <= revokeDelay {
			continue
		}
		late++
		byStatus[s.result.status]++
		e, ran := d.execution(s.call.id)
		if !ran {
			continue
		}
		broken++
		b.logf("request %s with the key %s was sent %.3f s after the acknowledgement and ran for tenant %s at %.3f s: %s", s.call.id,
			s.call.key, after.Seconds(), e.tenant, e.at.Sub(b.start).Seconds(), s.result.text())
	}
	return verdict{broken: broken > 0, text: fmt.Sprintf(
		"%d requests with a revoked key, %d sent over %v after the acknowledgement, of which %d ran, their answers: %v; ",
		len(sales), late, revokeDelay, broken, byStatus)}
}

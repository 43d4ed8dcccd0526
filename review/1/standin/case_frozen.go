package main

import (
	"net/http"
	"slices"
	"syscall"
	"time"
)

func init() { cases["frozen"] = playFrozen }

// frozenDuration is how long a gateway stands still.
const frozenDuration = 6500 * time.Millisecond

// playFrozen takes a key away while one of two gateways, both of which read the store, stands still.
func playFrozen(b *bench) (verdict, error) {
	c := configuration{version: 1, keys: append([]string{keyKept}, revokedKeys...), further: furtherRoutes}
	d, err := b.startDeployment(c, func(*http.Request) work { return work{duration: saleDuration} })
	if err != nil {
		return verdict{}, err
	}
	if _, err := b.startGateway(d.store.address, d.gateway.host); err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	sales := callWithKey(d.gateway.front, revokedKeys[0], stop)
	time.Sleep(cutPause)
	if b.trouble {
		if err := d.gateway.signal(syscall.SIGSTOP); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(ackDelay)
	c.version, c.keys = 4, slices.DeleteFunc(slices.Clone(c.keys), func(k string) bool { return k == revokedKeys[0] })
	if err := d.store.put("config", "main", c.spec()); err != nil {
		return verdict{}, err
	}
	acknowledged := time.Now()
	b.logf("configuration %d, without the key, is acknowledged", c.version)
	time.Sleep(frozenDuration - ackDelay)
	if b.trouble {
		if err := d.gateway.signal(syscall.SIGCONT); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(cutPause)
	close(stop)
	return b.judgeRevoked(d, sales(), acknowledged), nil
}

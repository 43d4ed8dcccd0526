package savorypincluster_test

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// network relays TCP connections and can stop forwarding without closing them.
type network struct {
	mu     sync.Mutex
	conns  []net.Conn
	frozen map[string]bool
	gates  map[string][]*gate
	relays map[string]net.Listener
	wg     sync.WaitGroup
}

// gate lets the data of one connection pass while it is open.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func (g *gate) set(open bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
		if !open {
			g.open = make(chan struct{})
		}
	default:
		if open {
			close(g.open)
		}
	}
}

func (g *gate) wait() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

func newNetwork() *network {
	n := &network{frozen: map[string]bool{}, gates: map[string][]*gate{}, relays: map[string]net.Listener{}}
	DeferCleanup(n.close)
	return n
}

func (n *network) close() {
	n.mu.Lock()
	for _, ln := range n.relays {
		ln.Close()
	}
	for _, conn := range n.conns {
		conn.Close()
	}
	for _, gates := range n.gates {
		for _, g := range gates {
			g.set(true)
		}
	}
	n.mu.Unlock()
	n.wg.Wait()
}

// Dial opens a connection to an address through a relay.
func (n *network) Dial(address string, timeout time.Duration) (net.Conn, error) {
	n.mu.Lock()
	ln, ok := n.relays[address]
	if !ok {
		var err error
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			n.mu.Unlock()
			return nil, err
		}
		n.relays[address] = ln
		n.wg.Go(func() { n.serve(ln, address) })
	}
	n.mu.Unlock()
	return net.DialTimeout("tcp", ln.Addr().String(), timeout)
}

// Silence stops all present connections to an address, and the new ones too if
// the whole host is to be silent. It returns a function that lets them go on.
func (n *network) Silence(address string, host bool) (resume func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[address] = host
	for _, g := range n.gates[address] {
		g.set(false)
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.frozen[address] = false
		for _, g := range n.gates[address] {
			g.set(true)
		}
	}
}

func (n *network) serve(ln net.Listener, address string) {
	for {
		near, err := ln.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", address)
		if err != nil {
			near.Close()
			continue
		}
		g := &gate{open: make(chan struct{})}
		n.mu.Lock()
		g.set(!n.frozen[address])
		n.conns = append(n.conns, near, far)
		n.gates[address] = append(n.gates[address], g)
		n.mu.Unlock()
		n.wg.Go(func() { forward(g, near, far) })
		n.wg.Go(func() { forward(g, far, near) })
	}
}

func forward(g *gate, from, to net.Conn) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		g.wait()
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

var _ = Describe("network", func() {
	It("stops present connections while new ones work", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		n := newNetwork()
		old, err := n.Dial(ln.Addr().String(), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		resume := n.Silence(ln.Addr().String(), false)
		DeferCleanup(resume)
		_, err = old.Write([]byte("lost"))
		Expect(err).NotTo(HaveOccurred())
		next, err := n.Dial(ln.Addr().String(), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = next.Write([]byte("new"))
		Expect(err).NotTo(HaveOccurred())
		peer, err := ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		data := make([]byte, 3)
		_, err = peer.Read(data)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(data)).To(Equal("new"))
	})
})

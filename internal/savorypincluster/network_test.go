package savorypincluster_test

import (
	"net"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// network relays TCP connections and can stop forwarding their data without
// closing them, as a network that drops all packets does.
type network struct {
	mu         sync.Mutex
	conns      []net.Conn
	blackholed map[string]bool
	gates      map[string][]*gate
	listeners  map[string]net.Listener
	wg         sync.WaitGroup
}

// gate blocks the data of one connection while it is closed.
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
	n := &network{blackholed: map[string]bool{}, gates: map[string][]*gate{}, listeners: map[string]net.Listener{}}
	DeferCleanup(n.close)
	return n
}

func (n *network) close() {
	n.mu.Lock()
	for _, ln := range n.listeners {
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
	ln, ok := n.listeners[address]
	if !ok {
		var err error
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			n.mu.Unlock()
			return nil, err
		}
		n.listeners[address] = ln
		n.wg.Go(func() { n.serve(ln, address) })
	}
	n.mu.Unlock()
	return net.DialTimeout("tcp", ln.Addr().String(), timeout)
}

// Blackhole stops forwarding data on all open connections to an address. If
// newConns is true, new connections to it forward nothing either, as if the whole
// host were cut off. The returned function resumes forwarding.
func (n *network) Blackhole(address string, newConns bool) (resume func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blackholed[address] = newConns
	for _, g := range n.gates[address] {
		g.set(false)
	}
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.blackholed[address] = false
		for _, g := range n.gates[address] {
			g.set(true)
		}
	}
}

func (n *network) serve(ln net.Listener, address string) {
	for {
		downstream, err := ln.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", address)
		if err != nil {
			downstream.Close()
			continue
		}
		g := &gate{open: make(chan struct{})}
		n.mu.Lock()
		g.set(!n.blackholed[address])
		n.conns = append(n.conns, downstream, upstream)
		n.gates[address] = append(n.gates[address], g)
		n.mu.Unlock()
		n.wg.Go(func() { forward(g, downstream, upstream) })
		n.wg.Go(func() { forward(g, upstream, downstream) })
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
	It("stops forwarding on open connections while new ones work", func() {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(ln.Close)
		n := newNetwork()
		old, err := n.Dial(ln.Addr().String(), time.Minute)
		Expect(err).NotTo(HaveOccurred())
		_, err = ln.Accept()
		Expect(err).NotTo(HaveOccurred())
		resume := n.Blackhole(ln.Addr().String(), false)
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

//go:build review

package main

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy is a TCP proxy in front of one address. Its open connections can go silent for good while new ones work.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     map[*proxied]bool
}

type proxied struct {
	isSilent atomic.Bool
	usedAt   atomic.Int64 // Unix milliseconds
}

func newProxy(address, target string) (*proxy, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, open: map[*proxied]bool{}}
	go p.serve()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) serve() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp4", p.target)
		if err != nil {
			_ = from.Close()
			continue
		}
		c := &proxied{}
		c.usedAt.Store(time.Now().UnixMilli())
		p.mu.Lock()
		p.open[c] = true
		p.mu.Unlock()
		go p.forward(c, from, to)
		go p.forward(c, to, from)
	}
}

// forward copies bytes in one direction. A silent connection drops them and tells neither end of the other's close.
func (p *proxy) forward(c *proxied, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			break
		}
		if c.isSilent.Load() {
			continue
		}
		c.usedAt.Store(time.Now().UnixMilli())
		if _, err := to.Write(buffer[:n]); err != nil {
			break
		}
	}
	p.mu.Lock()
	delete(p.open, c)
	p.mu.Unlock()
	_ = from.Close()
	if !c.isSilent.Load() {
		_ = to.Close()
	}
}

// silenceIdle makes the open connections silent that carried nothing for some time, and returns their number.
func (p *proxy) silenceIdle(idle time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for c := range p.open {
		if time.Now().UnixMilli()-c.usedAt.Load() >= idle.Milliseconds() {
			c.isSilent.Store(true)
			count++
		}
	}
	return count
}

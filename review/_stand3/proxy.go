package main

import (
	"io"
	"net"
	"sync"
)

// Proxy passes channels on to the store. Silence makes the present ones silent for good, while new ones
// work (DEPLOY.md, "How these days are played").
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is a channel through a Proxy.
type link struct {
	client, server net.Conn

	mu     sync.Mutex
	silent bool
}

// StartProxy returns a proxy at the address.
func StartProxy(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target}
	go p.run()
	return p, nil
}

func (p *Proxy) run() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		l := &link{client: client, server: server}
		p.mu.Lock()
		p.links = append(p.links, l)
		p.mu.Unlock()
		go l.pass(client, server)
		go l.pass(server, client)
	}
}

// Silence makes all present channels silent and returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		l.mu.Lock()
		l.silent = true
		l.mu.Unlock()
	}
	count := len(p.links)
	p.links = nil
	return count
}

// pass copies bytes until the source ends. Of a silent link it drops them, and keeps the other end open.
func (l *link) pass(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := l.silent
		l.mu.Unlock()
		if n > 0 && !silent {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil && err == nil {
				err = io.ErrClosedPipe
			}
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}

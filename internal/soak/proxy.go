package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// Directions of a link.
const (
	toServer = 0
	toClient = 1
)

const (
	// proxyPollInterval is the time between checks whether a silence has ended.
	proxyPollInterval = 5 * time.Millisecond
	// linkDelay is the delay of each read of a delayed link.
	linkDelay = 60 * time.Millisecond
)

// Proxy forwards TCP connections to a server and applies faults. It passes on the end of a direction and resets as such.
type Proxy struct {
	listener net.Listener
	server   string

	mu     sync.Mutex
	pairs  map[*pair]bool
	silent [2]int
	delay  time.Duration
}

// pair is a connection to the server (toServer) and its client (toClient).
type pair [2]*net.TCPConn

// NewProxy starts a proxy on a free port of 127.0.0.1.
func NewProxy(server string) (*Proxy, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, server: server, pairs: map[*pair]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close stops the proxy.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Impair(Fault{Kind: Reset})
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(client.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	conn, err := net.DialTimeout("tcp4", p.server, time.Second)
	if err != nil {
		reset(client)
		return
	}
	c := &pair{conn.(*net.TCPConn), client}
	p.mu.Lock()
	p.pairs[c] = true
	p.mu.Unlock()
	var pumps sync.WaitGroup
	for direction := range c {
		pumps.Go(func() { p.pump(c, direction) })
	}
	pumps.Wait()
	p.mu.Lock()
	delete(p.pairs, c)
	p.mu.Unlock()
	for _, conn := range c {
		_ = conn.Close()
	}
}

// pump forwards one direction until its end.
func (p *Proxy) pump(c *pair, direction int) {
	from, to := c[1-direction], c[direction]
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		p.wait(direction)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// wait waits until a direction may forward.
func (p *Proxy) wait(direction int) {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	time.Sleep(delay)
	for {
		p.mu.Lock()
		silent := p.silent[direction]
		p.mu.Unlock()
		if silent == 0 {
			return
		}
		time.Sleep(proxyPollInterval)
	}
}

// reset closes a connection such that the kernel sends RST.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Impair applies a fault of a link until its end.
func (p *Proxy) Impair(f Fault) {
	switch f.Kind {
	case Reset:
		p.each(func(c *pair) {
			reset(c[toServer])
			reset(c[toClient])
		})
	case Finish:
		// What the one end still sends is answered with RST, as for a process that is gone.
		p.each(func(c *pair) {
			_ = c[f.Direction].CloseWrite()
			_ = c[1-f.Direction].Close()
		})
	case Silence:
		p.hold(f.Duration, 0, toServer, toClient)
	case OneWay:
		p.hold(f.Duration, 0, f.Direction)
	case Delay:
		p.hold(f.Duration, linkDelay)
	}
}

func (p *Proxy) each(do func(*pair)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.pairs {
		do(c)
	}
}

// hold delays what is forwarded, and forwards nothing in the directions, for some time.
func (p *Proxy) hold(d, delay time.Duration, silent ...int) {
	change := func(sign int) {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.delay += time.Duration(sign) * delay
		for _, direction := range silent {
			p.silent[direction] += sign
		}
	}
	change(1)
	time.Sleep(d)
	change(-1)
}

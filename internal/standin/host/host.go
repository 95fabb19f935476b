// Package host is an HTTP server that can emulate a crash: it closes its connections, refuses new ones for a
// while, and then serves again at the same address.
package host

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerTimeout is the timeout for reading a request's headers.
	headerTimeout = 10 * time.Second
	// listenRetryInterval is the time between attempts to listen on the address again after a crash.
	listenRetryInterval = 20 * time.Millisecond
)

// Host serves one handler at one address until its context ends.
type Host struct {
	handler http.Handler
	address string
	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup

	mu sync.Mutex
	// server is nil while the host is down.
	server *http.Server
}

// Start listens on address (IP:port; port 0 picks a free one) and serves handler until ctx ends or Stop is called.
func Start(ctx context.Context, address string, handler http.Handler) (*Host, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	h := &Host{handler: handler, address: listener.Addr().String()}
	h.ctx, h.stop = context.WithCancel(ctx)
	h.serve(listener)
	h.running.Add(1)
	go h.closeWhenDone()
	return h, nil
}

// Address returns the address (IP:port) of the host.
func (h *Host) Address() string { return h.address }

// URL returns the base URL of the host.
func (h *Host) URL() string { return "http://" + h.address }

// Crash closes all connections and refuses new ones for restartAfter. It does nothing on a host that is already down.
func (h *Host) Crash(restartAfter time.Duration) {
	if !h.closeServer() {
		return
	}
	h.running.Add(1)
	go h.restart(restartAfter)
}

// Stop closes all connections and the listener, and waits for all goroutines to end.
func (h *Host) Stop() {
	h.stop()
	h.running.Wait()
}

func (h *Host) closeWhenDone() {
	defer h.running.Done()
	<-h.ctx.Done()
	h.closeServer()
}

func (h *Host) serve(listener net.Listener) {
	server := &http.Server{Handler: h.handler, ReadHeaderTimeout: headerTimeout}
	h.mu.Lock()
	h.server = server
	h.mu.Unlock()
	h.running.Add(1)
	go func() {
		defer h.running.Done()
		_ = server.Serve(listener)
	}()
}

// closeServer returns false if the host is already down.
func (h *Host) closeServer() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server == nil {
		return false
	}
	_ = h.server.Close()
	h.server = nil
	return true
}

func (h *Host) restart(after time.Duration) {
	defer h.running.Done()
	if !h.pause(after) {
		return
	}
	for {
		listener, err := net.Listen("tcp", h.address)
		if err == nil {
			h.serve(listener)
			break
		}
		if !h.pause(listenRetryInterval) {
			return
		}
	}
	// The host may have been stopped while it restarted.
	if h.ctx.Err() != nil {
		h.closeServer()
	}
}

// pause sleeps for d. It returns false if the host is stopped first.
func (h *Host) pause(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-h.ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

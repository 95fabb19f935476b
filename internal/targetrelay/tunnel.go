package targetrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/reach"
)

// A tunnel is an HTTP request whose body carries what the VM sends, and whose response body carries what the target sends. Status
// 200 means that the target is connected. The response ends as complete only if the target ended its connection in order, so that
// the loss of the relaying VM is not taken for the end of a target's response. If the target broke off, a trailer says so.
const (
	// PathTunnel is the path of requests for a tunnel.
	PathTunnel = "/targets/tunnel"

	headerTarget  = "Rosemarydyke-Target"
	headerWitness = "Rosemarydyke-Witness"
	trailerBroken = "Rosemarydyke-Broken"

	// maxHeaderBytes limits the header of another VM's response.
	maxHeaderBytes    = 16 << 10
	tunnelBufferBytes = 16 << 10
	maxReasonBytes    = 1 << 10
)

// errBrokenOff means that the target broke off the connection, as another VM saw it.
var errBrokenOff = errors.New("target broke off the connection")

// tunnelConn is a connection by way of another VM.
type tunnelConn struct {
	vm       string
	address  string
	response *http.Response
	body     *io.PipeWriter
	cancel   context.CancelFunc
}

// dialVia connects to a target by way of another VM.
func (r *Relay) dialVia(ctx context.Context, via Peer, address string) (net.Conn, error) {
	ctx, cancelAttempt := context.WithTimeout(ctx, attemptTimeout)
	defer cancelAttempt()
	// The tunnel outlives the attempt.
	tunnelCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	reader, writer := io.Pipe()
	attached := context.AfterFunc(ctx, func() {
		cancel()
		// If the other VM ends the connection or sends no response, net/http waits for the body before it says so.
		_ = reader.CloseWithError(ctx.Err())
	})
	request, err := http.NewRequestWithContext(tunnelCtx, http.MethodPost, "http://"+via.Address+PathTunnel, reader)
	if err != nil {
		cancel()
		return nil, fmt.Errorf("request a tunnel from VM %q: %w", via.VM, err)
	}
	request.Header.Set(headerTarget, address)
	response, err := r.client.RoundTrip(request)
	if detached := attached(); err == nil && !detached {
		_ = response.Body.Close()
		err = ctx.Err()
	}
	if err != nil {
		cancel()
		return nil, fmt.Errorf("request a tunnel from VM %q: %w", via.VM, err)
	}
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(io.LimitReader(response.Body, maxReasonBytes))
		_ = response.Body.Close()
		cancel()
		return nil, &unreachableError{vm: via.VM, unusable: response.StatusCode == http.StatusForbidden, witness: response.Header.Get(headerWitness) != "", reason: strings.TrimSpace(string(reason))}
	}
	return &tunnelConn{vm: via.VM, address: address, response: response, body: writer, cancel: cancel}, nil
}

// Via returns the name of the VM by way of which the target is connected.
func (c *tunnelConn) Via() string { return c.vm }

// Read implements net.Conn.
func (c *tunnelConn) Read(p []byte) (int, error) {
	n, err := c.response.Body.Read(p)
	switch {
	case err == nil:
	case errors.Is(err, io.EOF) && c.response.Trailer.Get(trailerBroken) != "":
		err = fmt.Errorf("%w, as VM %q saw: %s", errBrokenOff, c.vm, c.response.Trailer.Get(trailerBroken))
	case !errors.Is(err, io.EOF):
		err = &reach.PathError{Cause: fmt.Errorf("tunnel of VM %q: %w", c.vm, err)}
	}
	return n, err
}

// Write implements net.Conn.
func (c *tunnelConn) Write(p []byte) (int, error) { return c.body.Write(p) }

// Close implements net.Conn. It makes the other VM close its connection to the target.
func (c *tunnelConn) Close() error {
	c.cancel()
	_ = c.body.Close()
	return c.response.Body.Close()
}

// LocalAddr implements net.Conn.
func (c *tunnelConn) LocalAddr() net.Addr { return tunnelAddr("") }

// RemoteAddr implements net.Conn.
func (c *tunnelConn) RemoteAddr() net.Addr { return tunnelAddr(c.address) }

// SetDeadline implements net.Conn. Deadlines are those of the request's context.
func (c *tunnelConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *tunnelConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *tunnelConn) SetWriteDeadline(time.Time) error { return nil }

// tunnelAddr is the address of a target that is connected by way of another VM.
type tunnelAddr string

// Network implements net.Addr.
func (tunnelAddr) Network() string { return "tunnel" }

func (a tunnelAddr) String() string { return string(a) }

// ServeHTTP connects to a target in place of another VM.
func (r *Relay) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	address := request.Header.Get(headerTarget)
	if request.Method != http.MethodPost || request.URL.Path != PathTunnel {
		http.NotFound(w, request)
		return
	}
	if r.draining.Load() {
		// The tunnel would end with this process, and with it a request that may take longer.
		http.Error(w, "this VM is shutting down", http.StatusForbidden)
		return
	}
	if !r.config.Usable(address) {
		http.Error(w, "not the address of a registered target that takes requests", http.StatusForbidden)
		return
	}
	if err := clientconn.Of(request.Context()).Tunnel(); err != nil {
		http.Error(w, err.Error(), http.StatusForbidden)
		return
	}
	conn, err := r.connectFor(request.Context(), address)
	if err != nil {
		r.config.Log.Info().Err(err).Str("for", request.RemoteAddr).Str("target", address).Msg("no connection to a target in place of another VM, which tries a third one")
		r.mu.Lock()
		witness := r.paths.IsWitness(address)
		r.mu.Unlock()
		if witness {
			w.Header().Set(headerWitness, "1")
		}
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = conn.Close() }()
	servedConnections.Inc()
	serveTunnel(w, request, conn)
}

// errPathBroken means that this VM does not connect for another one.
var errPathBroken = errors.New("direct path to the target is known to be broken")

func (r *Relay) connectFor(ctx context.Context, address string) (net.Conn, error) {
	r.mu.Lock()
	skip := r.paths.SkipsDirect(time.Now(), address)
	r.mu.Unlock()
	if skip {
		return nil, errPathBroken
	}
	return r.dialDirect(ctx, address)
}

// serveTunnel copies bytes in both directions until one side ends.
func serveTunnel(w http.ResponseWriter, request *http.Request, conn net.Conn) {
	controller := http.NewResponseController(w)
	w.Header().Set("Trailer", trailerBroken)
	// Without full duplex, the server would read the whole request before the response.
	if err := errors.Join(controller.EnableFullDuplex(), controller.Flush()); err != nil {
		panic(http.ErrAbortHandler)
	}
	go func() {
		// An error means that the VM closed the tunnel; so does the end of the body, which the VM keeps open until then.
		_, _ = io.Copy(conn, request.Body)
		_ = conn.Close()
	}()
	buffer := make([]byte, tunnelBufferBytes)
	for {
		n, err := conn.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return
			}
			if err := controller.Flush(); err != nil {
				return
			}
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			return
		case isPathError(err):
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set(trailerBroken, err.Error())
			return
		}
	}
}

func isPathError(err error) bool {
	var path *reach.PathError
	return errors.As(err, &path)
}

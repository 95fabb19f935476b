package engine

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection whose request was given up before.
var errSealed = errors.New("engine: connection is sealed")

// guardedConn records whether any byte was handed to the connection, and can rule out later ones.
// net/http may still start to write a request after RoundTrip has returned an error; sealing keeps
// a verdict of not-run true in that case.
type guardedConn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn.
func (c *guardedConn) Write(b []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *guardedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.wrote = true
	return nil
}

// seal forbids further writes and reports whether there was one before.
func (c *guardedConn) seal() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

package engine

import (
	"errors"
	"net"
	"sync"
)

// errSealed is returned by writes to a connection after seal.
var errSealed = errors.New("engine: connection is sealed")

// sealableConn records whether anything was written to the connection, and can prevent further writes.
// net/http may still start to write a request after RoundTrip has returned an error; sealing the connection
// keeps a verdict of not-run correct in that case.
type sealableConn struct {
	net.Conn

	mu     sync.Mutex
	wrote  bool
	sealed bool
}

// Write implements net.Conn.
func (c *sealableConn) Write(b []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

func (c *sealableConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.wrote = true
	return nil
}

// seal makes further writes fail and reports whether there was one before.
func (c *sealableConn) seal() (wrote bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.wrote
}

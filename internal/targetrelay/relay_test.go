package targetrelay_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/internal/targetrelay"
	"github.com/rosemarydyke/rosemarydyke/platform"
	"github.com/rosemarydyke/rosemarydyke/reach"
)

func refuse(context.Context, string) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

// startVM starts the relay of a VM, and returns it with what other VMs need to reach it.
func startVM(t *testing.T, name string, dial platform.DialFunc, usable bool, peers ...targetrelay.Peer) (*targetrelay.Relay, targetrelay.Peer, *httptest.Server) {
	relay := targetrelay.New(targetrelay.Config{
		Dial: dial, Log: zerolog.Nop(),
		Peers:  func() []targetrelay.Peer { return peers },
		Usable: func(string) bool { return usable },
	})
	server := httptest.NewServer(relay)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return relay, targetrelay.Peer{VM: name, Address: strings.TrimPrefix(server.URL, "http://")}, server
}

// startTarget starts a target that accepts one connection.
func startTarget(t *testing.T) (address string, accepted <-chan *net.TCPConn) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = listener.Close() })
	conns := make(chan *net.TCPConn, 1)
	go func() {
		if conn, err := listener.Accept(); err == nil {
			conns <- conn.(*net.TCPConn)
		}
	}()
	return listener.Addr().String(), conns
}

// startTunnel connects a VM without links to a target by way of another VM.
func startTunnel(t *testing.T) (conn net.Conn, target *net.TCPConn, other *httptest.Server) {
	address, accepted := startTarget(t)
	_, peer, other := startVM(t, "other", platform.DialTarget, true)
	relay, _, _ := startVM(t, "self", refuse, true, peer)
	conn, err := relay.DialTarget(t.Context(), address)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = conn.Close() })
	return conn, <-accepted, other
}

// read returns what can be read until the end or an error.
func read(conn net.Conn) (string, error) {
	content, err := io.ReadAll(conn)
	return string(content), err
}

func isPathError(err error) bool {
	var path *reach.PathError
	return errors.As(err, &path)
}

func TestTunnel(t *testing.T) {
	t.Run("carries bytes in both directions as they come", func(t *testing.T) {
		conn, target, _ := startTunnel(t)
		buffer := make([]byte, 4)
		for _, message := range []string{"ping", "more"} {
			_, err := conn.Write([]byte(message))
			qt.Assert(t, err, qt.IsNil)
			_, err = io.ReadFull(target, buffer)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, string(buffer), qt.Equals, message)
			_, err = target.Write([]byte("pong"))
			qt.Assert(t, err, qt.IsNil)
			_, err = io.ReadFull(conn, buffer)
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, conn.(interface{ Via() string }).Via(), qt.Equals, "other")
	})
	t.Run("ends when the target ends in order", func(t *testing.T) {
		conn, target, _ := startTunnel(t)
		_, _ = target.Write([]byte("whole"))
		_ = target.Close()
		got, err := read(conn)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, got, qt.Equals, "whole")
	})
	t.Run("does not end in order when the target resets, which speaks against the target", func(t *testing.T) {
		conn, target, _ := startTunnel(t)
		_, _ = target.Write([]byte("half"))
		time.Sleep(20 * time.Millisecond)
		_ = target.SetLinger(0)
		_ = target.Close()
		_, err := read(conn)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, isPathError(err), qt.IsFalse, qt.Commentf("%v", err))
	})
	// The reset may be reported to a write of the other VM only.
	t.Run("does not end in order when the target resets while the VM sends", func(t *testing.T) {
		for pause := range 10 {
			conn, target, _ := startTunnel(t)
			go func() { _, _ = conn.Write(make([]byte, 16<<20)) }()
			_, _ = target.Write([]byte("half"))
			time.Sleep(time.Duration(pause*pause) * time.Millisecond)
			_ = target.SetLinger(0)
			_ = target.Close()
			_, err := read(conn)
			qt.Check(t, err, qt.IsNotNil)
		}
	})
	t.Run("does not end in order when the other VM is lost, which does not speak against the target", func(t *testing.T) {
		conn, target, other := startTunnel(t)
		_, _ = target.Write([]byte("half"))
		time.Sleep(20 * time.Millisecond)
		other.CloseClientConnections()
		_, err := read(conn)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, isPathError(err), qt.IsTrue, qt.Commentf("%v", err))
	})
	t.Run("ends the target's connection when it is closed", func(t *testing.T) {
		conn, target, _ := startTunnel(t)
		_ = conn.Close()
		_ = target.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := read(target)
		var timeout net.Error
		qt.Assert(t, errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
	})
}

func TestUnreachableTarget(t *testing.T) {
	dead, _ := startTarget(t)
	for name, test := range map[string]struct {
		// failedBefore is the number of other targets to which the VM's paths have just failed, and otherFailed the same for
		// the other VM.
		failedBefore, otherFailed int
		others, usable            bool
		// ofPath means that the failure says nothing about the target.
		ofPath bool
	}{
		"is blamed when a VM whose paths work cannot connect either":    {0, 0, true, true, false},
		"is not blamed when the VM's paths to others have failed":       {2, 0, true, true, true},
		"is not blamed when the other VM's paths have failed too":       {0, 2, true, true, true},
		"is not blamed when the other VM does not know the target":      {0, 0, true, false, true},
		"is blamed when there is no other VM":                           {0, 0, false, true, false},
		"is not blamed when there is no other VM and paths have failed": {2, 0, false, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			fail := func(relay *targetrelay.Relay, n int) {
				for i := range n {
					relay.PathWorks(t.Context(), string(rune('a'+i)))
				}
			}
			other, peer, _ := startVM(t, "other", refuse, test.usable)
			fail(other, test.otherFailed)
			var peers []targetrelay.Peer
			if test.others {
				peers = append(peers, peer)
			}
			relay, _, _ := startVM(t, "self", refuse, true, peers...)
			fail(relay, test.failedBefore)
			_, err := relay.DialTarget(t.Context(), dead)
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, isPathError(err), qt.Equals, test.ofPath, qt.Commentf("%v", err))
		})
	}
}

// A VM that drops packets to the targets connects by way of another one within a fraction of the latency objective.
func TestSlowPathDoesNotDelayTheConnection(t *testing.T) {
	address, _ := startTarget(t)
	_, peer, _ := startVM(t, "other", platform.DialTarget, true)
	hang := func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	relay, _, _ := startVM(t, "self", hang, true, peer)
	began := time.Now()
	conn, err := relay.DialTarget(t.Context(), address)
	qt.Assert(t, err, qt.IsNil)
	_ = conn.Close()
	qt.Assert(t, time.Since(began) < 150*time.Millisecond, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
	qt.Assert(t, relay.PathWorks(t.Context(), address), qt.IsFalse)
}

func TestRequestForAnUnknownAddressIsRefused(t *testing.T) {
	dialed := false
	dial := func(context.Context, string) (net.Conn, error) {
		dialed = true
		return nil, errors.New("must not be called")
	}
	_, peer, _ := startVM(t, "other", dial, false)
	relay, _, _ := startVM(t, "self", refuse, true, peer)
	_, err := relay.DialTarget(t.Context(), "127.0.0.1:1")
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, dialed, qt.IsFalse)
}

func TestPathIsForgottenWithItsTarget(t *testing.T) {
	relay, _, _ := startVM(t, "self", refuse, true)
	qt.Assert(t, relay.PathWorks(t.Context(), "127.0.0.1:1"), qt.IsFalse)
	qt.Assert(t, relay.PathWorks(t.Context(), "127.0.0.1:2"), qt.IsFalse)
	relay.SetTargets([]string{"127.0.0.1:3"})
	// The VM is not cut off: its only other failures were those of targets that are gone.
	_, err := relay.DialTarget(t.Context(), "127.0.0.1:3")
	qt.Assert(t, isPathError(err), qt.IsFalse, qt.Commentf("%v", err))
}

// A client that leaves while a silent target is checked says nothing about the path.
func TestCancelledCheckDoesNotBreakThePath(t *testing.T) {
	address, _ := startTarget(t)
	relay, _, _ := startVM(t, "self", func(ctx context.Context, address string) (net.Conn, error) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		return platform.DialTarget(ctx, address)
	}, true)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	qt.Assert(t, relay.PathWorks(ctx, address), qt.IsTrue)
	qt.Assert(t, relay.PathWorks(t.Context(), address), qt.IsTrue)
}

// Guards against requests of other VMs that are cut off because their tunnel ends with a VM that shuts down.
func TestVMThatShutsDownOpensNoTunnel(t *testing.T) {
	address, accepted := startTarget(t)
	leaving, first, _ := startVM(t, "leaving", platform.DialTarget, true)
	_, second, _ := startVM(t, "other", platform.DialTarget, true)
	leaving.Drain()
	relay, _, _ := startVM(t, "self", refuse, true, first)
	_, err := relay.DialTarget(t.Context(), address)
	qt.Assert(t, isPathError(err), qt.IsTrue, qt.Commentf("%v", err))
	relay, _, _ = startVM(t, "self", refuse, true, first, second)
	conn, err := relay.DialTarget(t.Context(), address)
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	qt.Assert(t, conn.(interface{ Via() string }).Via(), qt.Equals, "other")
	_ = (<-accepted).Close()
}

// Package testports allocates ports for tests that must know a process's address before it starts.
package testports

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
)

const (
	// firstPort and lastPort bound the allocated ports. They lie below net.ipv4.ip_local_port_range of Linux (32768 and
	// up), from which the kernel picks ports for outgoing connections and for listeners on port 0.
	firstPort = 20000
	lastPort  = 30000
	// blockSize is the number of ports that a test process claims at a time, by listening on the first of them.
	blockSize = 50
)

// claimed holds the ports of the current block that have not been allocated.
var claimed struct {
	sync.Mutex
	next, end int
	// claims are the listeners on the first ports of all claimed blocks. They stay open until the process exits, so
	// that no other process claims the same block.
	claims []net.Listener
}

// Port returns a port that is free on 127.0.0.1 through 127.0.0.9, for TCP and UDP. It returns a port once, and no
// other process on this machine that uses this package gets the port until this process exits. It fails the test if
// no port is left.
func Port(t testing.TB) int {
	t.Helper()
	claimed.Lock()
	defer claimed.Unlock()
	for {
		if claimed.next == claimed.end && !claimBlock() {
			t.Fatalf("all blocks of ports from %d to %d are claimed", firstPort, lastPort)
		}
		port := claimed.next
		claimed.next++
		if isFree(port) {
			return port
		}
	}
}

// Address returns ip joined with a port from Port.
func Address(t testing.TB, ip string) string {
	t.Helper()
	return net.JoinHostPort(ip, strconv.Itoa(Port(t)))
}

func claimBlock() bool {
	for first := firstPort; first < lastPort; first += blockSize {
		claim, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", first))
		if err != nil {
			continue
		}
		claimed.claims = append(claimed.claims, claim)
		claimed.next, claimed.end = first+1, first+blockSize
		return true
	}
	return false
}

func isFree(port int) bool {
	for host := 1; host < 10; host++ {
		address := fmt.Sprintf("127.0.0.%d:%d", host, port)
		tcp, err := net.Listen("tcp4", address)
		if !canListen(tcp, err) {
			return false
		}
		udp, err := net.ListenPacket("udp4", address)
		if !canListen(udp, err) {
			return false
		}
	}
	return true
}

func canListen(listener io.Closer, err error) bool { return err == nil && listener.Close() == nil }

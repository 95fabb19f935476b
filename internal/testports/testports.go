// Package testports gives tests addresses for processes that are told where to listen before they start.
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
	// firstPort and lastPort bound the ports given. They lie below net.ipv4.ip_local_port_range of Linux (32768 and
	// up), from which the kernel gives ports to outgoing connections and to listeners that ask for any port.
	firstPort = 20000
	lastPort  = 30000
	// blockSize is the number of ports that one test process claims at a time. The first of them is its claim.
	blockSize = 50
)

// claimed is the part of a block that has not been given yet.
var claimed struct {
	sync.Mutex
	next, end int
	// claims are listeners on the first ports of all blocks. They stay open as long as the process lives, so that a
	// block is given to one process.
	claims []net.Listener
}

// Port returns a port that is free on 127.0.0.1 through 127.0.0.9, for TCP and UDP, and that no other caller of this
// package on this machine gets while this process lives.
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

// Address returns ip with a port of its own.
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
		stream, err := net.Listen("tcp4", address)
		if !closes(stream, err) {
			return false
		}
		packets, err := net.ListenPacket("udp4", address)
		if !closes(packets, err) {
			return false
		}
	}
	return true
}

func closes(listener io.Closer, err error) bool { return err == nil && listener.Close() == nil }

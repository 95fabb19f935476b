package peer

import (
	"context"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/quic-go/quic-go"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
)

// ipAndUDPBytes is the size of the IPv4 and UDP headers, which quic-go does not count.
const ipAndUDPBytes = 28

// traffic counts packets and bytes on the wire in one direction of a connection.
type traffic struct{ packets, bytes uint64 }

func sentTraffic(stats quic.ConnectionStats) traffic {
	return traffic{stats.PacketsSent, stats.BytesSent + ipAndUDPBytes*stats.PacketsSent}
}

func receivedTraffic(stats quic.ConnectionStats) traffic {
	return traffic{stats.PacketsReceived, stats.BytesReceived + ipAndUDPBytes*stats.PacketsReceived}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestTransportCost prints the CPU, memory and network cost of connections and probes. It asserts nothing.
func TestTransportCost(t *testing.T) {
	if os.Getenv("ROSEMARYDYKE_COST") == "" {
		t.Log("set ROSEMARYDYKE_COST=1 to print the table")
		return
	}
	const (
		peers  = 100
		probes = 50
		// probeBytes is the size of a membership probe that carries no update.
		probeBytes = 22
		// ackDelay exceeds the QUIC delay of the last acknowledgement.
		ackDelay = 200 * time.Millisecond
	)
	c := qt.New(t)
	dir := newKeys(c, "vm-1", "vm-2")
	listen := func(vm string) *Node {
		node, err := Listen(Config{Address: anyPort, TLS: keyFiles(dir, vm)})
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { closeNode(node) })
		return node
	}
	a := listen("vm-1")
	acks := make(chan struct{}, 1)
	a.HandleDatagram(func(Identity, []byte) { acks <- struct{}{} })
	c.Assert(a.Start(), qt.IsNil)
	var nodes []*Node
	for range peers {
		b := listen("vm-2")
		b.HandleDatagram(func(from Identity, payload []byte) { _ = b.SendDatagram(from.Address, payload) })
		c.Assert(b.Start(), qt.IsNil)
		nodes = append(nodes, b)
	}
	ctx := testContext(c)

	memory, goroutines, cpu := memoryInUse(), runtime.NumGoroutine(), cpuTime()
	for _, b := range nodes {
		_, err := a.dial(ctx, b.Address())
		c.Assert(err, qt.IsNil)
	}
	cpu = cpuTime() - cpu
	time.Sleep(ackDelay)
	stats := a.cached(nodes[0].Address()).quic.ConnectionStats()
	t.Logf("handshake, client end: sent %+v, received %+v, CPU of both ends %v", sentTraffic(stats), receivedTraffic(stats), cpu/peers)
	t.Logf("idle connection: %d bytes and %.1f goroutines for each end",
		(memoryInUse()-memory)/(2*peers), float64(runtime.NumGoroutine()-goroutines)/(2*peers))

	exchanges := []struct {
		name string
		do   func()
	}{
		{"nothing", func() {}},
		{"probe and ack", func() {
			c.Assert(a.SendDatagram(nodes[0].Address(), make([]byte, probeBytes)), qt.IsNil)
			<-acks
		}},
		{"connection health check", func() {
			c.Assert(a.cached(nodes[0].Address()).ping(context.Background(), testTimeout), qt.IsNil)
		}},
	}
	for _, exchange := range exchanges {
		before, cpu := stats, cpuTime()
		for range probes {
			exchange.do()
			time.Sleep(ackDelay)
		}
		cpu = cpuTime() - cpu
		stats = a.cached(nodes[0].Address()).quic.ConnectionStats()
		sent, received := sentTraffic(stats), receivedTraffic(stats)
		t.Logf("%s: sent %.1f bytes in %.2f packets, received %.1f bytes in %.2f packets, CPU of the whole process %v", exchange.name,
			float64(sent.bytes-sentTraffic(before).bytes)/probes, float64(sent.packets-sentTraffic(before).packets)/probes,
			float64(received.bytes-receivedTraffic(before).bytes)/probes, float64(received.packets-receivedTraffic(before).packets)/probes, cpu/probes)
	}
}

// BenchmarkCall measures small sequential calls on one connection.
func BenchmarkCall(b *testing.B) {
	c := qt.New(b)
	dir := newKeys(c, "vm-1", "vm-2")
	caller, callee := startNode(c, dir, "vm-1", anyPort), startNode(c, dir, "vm-2", anyPort)
	ctx := context.Background()
	cpu := cpuTime()
	for b.Loop() {
		if err := caller.Call(ctx, callee.Address(), "echo", text{"hello"}, &text{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(cpuTime()-cpu)/float64(b.N), "cpu-ns/op")
}

// capacityDirEnv names the environment variable that holds the output directory of capacity measurements.
const capacityDirEnv = "ROSEMARYDYKE_CAPACITY"

// callGap is the pause between the measured calls, similar to that between the calls of an entry.
const callGap = 20 * time.Millisecond

// TestWriteCallCost writes the network and CPU cost of small separate calls, by number of calls. It asserts nothing.
func TestWriteCallCost(t *testing.T) {
	directory := os.Getenv(capacityDirEnv)
	if directory == "" {
		t.Log("set " + capacityDirEnv + " to write the cost of calls")
		return
	}
	series := func(name string) capacity.Series {
		return capacity.Series{
			Name: name, SizeUnit: "calls", Command: capacityDirEnv + "=DIR go test -count=1 -run TestWriteCallCost ./internal/peer",
		}
	}
	sent := series("calls: bytes sent by the caller, with IP and UDP headers")
	received := series("calls: bytes received by the caller, with IP and UDP headers")
	cpu := series("calls: microseconds of processor time, both ends")
	c := qt.New(t)
	dir := newKeys(c, "vm-1", "vm-2")
	caller, callee := startNode(c, dir, "vm-1", anyPort), startNode(c, dir, "vm-2", anyPort)
	ctx := context.Background()
	// The encoded request and response of a credit exchange together have about this size.
	message := text{strings.Repeat("x", 40)}
	c.Assert(caller.Call(ctx, callee.Address(), "echo", message, &text{}), qt.IsNil)
	for _, calls := range []int{50, 100, 200, 400} {
		before, cpuUsed := caller.cached(callee.Address()).quic.ConnectionStats(), cpuTime()
		for range calls {
			c.Assert(caller.Call(ctx, callee.Address(), "echo", message, &text{}), qt.IsNil)
			time.Sleep(callGap)
		}
		cpuUsed = cpuTime() - cpuUsed
		after := caller.cached(callee.Address()).quic.ConnectionStats()
		size := float64(calls)
		sent.Points = append(sent.Points, capacity.Point{Size: size, Value: float64(sentTraffic(after).bytes - sentTraffic(before).bytes)})
		received.Points = append(received.Points, capacity.Point{Size: size, Value: float64(receivedTraffic(after).bytes - receivedTraffic(before).bytes)})
		cpu.Points = append(cpu.Points, capacity.Point{Size: size, Value: float64(cpuUsed.Microseconds())})
	}
	c.Assert(capacity.Write(directory, "calls.json", []capacity.Series{sent, received, cpu}), qt.IsNil)
}

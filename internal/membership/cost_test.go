package membership

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/internal/capacity"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// ipAndUDPBytes is the size of the IPv4 and UDP headers of a packet, which the metrics do not count.
const ipAndUDPBytes = 28

// capacityDirectory is the environment variable that names where capacity measurements are written.
const capacityDirectory = "ROSEMARYDYKE_CAPACITY"

// usage is the cumulative resource usage of the process.
type usage struct {
	bytes, packets float64
	cpu            time.Duration
}

func usageNow() usage {
	var text bytes.Buffer
	metrics.WritePrometheus(&text, false)
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		panic(err)
	}
	return usage{
		bytes:   counter(text.String(), "rosemarydyke_peer_sent_bytes_total"),
		packets: counter(text.String(), "rosemarydyke_peer_sent_packets_total"),
		cpu:     time.Duration(r.Utime.Nano() + r.Stime.Nano()),
	}
}

func counter(text, name string) float64 {
	for line := range strings.Lines(text) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			if err != nil {
				panic(err)
			}
			return number
		}
	}
	return 0
}

// TestWriteServiceCost records the network and processor cost of membership for one VM over the real transport. It
// asserts nothing.
func TestWriteServiceCost(t *testing.T) {
	directory := os.Getenv(capacityDirectory)
	if directory == "" {
		t.Log("set " + capacityDirectory + " to write the cost of membership over the real transport")
		return
	}
	series := func(name string) capacity.Series {
		return capacity.Series{
			Name: name, SizeUnit: "entry VMs",
			Command: capacityDirectory + "=DIR go test -count=1 -run TestWriteServiceCost ./internal/membership",
		}
	}
	sent := series("membership: bytes sent a second and entry VM, with IP and UDP headers")
	cpu := series("membership: milliseconds of processor time a second and entry VM")
	for _, vms := range []int{3, 9, 18, 27} {
		bytes, millis := serviceCost(t, vms)
		sent.Points = append(sent.Points, capacity.Point{Size: float64(vms), Value: bytes})
		cpu.Points = append(cpu.Points, capacity.Point{Size: float64(vms), Value: millis})
	}
	qt.Assert(t, capacity.Write(directory, "membership-transport.json", []capacity.Series{sent, cpu}), qt.IsNil)
}

// serviceCost returns the bytes sent and the milliseconds of processor time per VM and second.
func serviceCost(t *testing.T, vms int) (sentBytes, cpuMillis float64) {
	const measure = 30 * time.Second
	t.Run(fmt.Sprintf("%d VMs", vms), func(t *testing.T) {
		c := qt.New(t)
		var names, want []string
		for i := range vms {
			names = append(names, fmt.Sprintf("vm-%02d", i))
			want = append(want, names[i]+" alive")
		}
		f, fleet := newFleetWith(c, member.Config{}, DefaultSeedPeriod, names...)
		f.eventuallyAllSee(fleet, want...)
		// By then each VM has probed each other one, and all connections exist.
		time.Sleep(2 * time.Duration(vms) * time.Second)
		before := usageNow()
		time.Sleep(measure)
		after := usageNow()
		share := measure.Seconds() * float64(vms)
		sentBytes = (after.bytes - before.bytes + (after.packets-before.packets)*ipAndUDPBytes) / share
		cpuMillis = (after.cpu - before.cpu).Seconds() * 1000 / share
	})
	return sentBytes, cpuMillis
}

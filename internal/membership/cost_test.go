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

	"github.com/rosemarydyke/rosemarydyke/member"
)

// ipAndUDPBytes is the size of the IPv4 and UDP headers, which the metrics do not count.
const ipAndUDPBytes = 28

// usage is what the process has spent so far.
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

// TestServiceCost prints what one VM sends and computes for membership over the real transport. It asserts nothing.
func TestServiceCost(t *testing.T) {
	if os.Getenv("ROSEMARYDYKE_COST") == "" {
		t.Skip("set ROSEMARYDYKE_COST=1 to print the table")
	}
	const measure = 30 * time.Second
	for _, vms := range []int{3, 9, 27} {
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
			packets := (after.packets - before.packets) / share
			t.Logf("sent %.0f bytes/s in %.2f packets/s, CPU %.2f ms/s, for each VM",
				(after.bytes-before.bytes)/share+packets*ipAndUDPBytes, packets, (after.cpu-before.cpu).Seconds()*1000/share)
		})
	}
}

package platformserver

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
)

// maxListSamples is the maximum length of the VM list's history.
const maxListSamples = 1024

// listSample is the VM list at one point in time.
type listSample struct {
	at  time.Time
	vms []platform.VM
}

// laggingList returns the VM list as it was some time ago. It records the current list on each call.
type laggingList struct {
	source platform.VMList
	faults *fault.Set
	lag    time.Duration

	mu      sync.Mutex
	samples []listSample
}

// List returns the newest sample that is at least as old as the lag, or the oldest sample if none is that old.
func (l *laggingList) List(now time.Time) []platform.VM {
	vms, err := l.source.List(context.Background())
	if err != nil {
		return nil
	}
	lag := l.lag
	if f, ok := l.faults.Has(SubjectVMs, fault.Lag); ok {
		lag = f.Delay()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, listSample{at: now, vms: vms})
	if len(l.samples) > maxListSamples {
		l.samples = l.samples[1:]
	}
	if lag <= 0 {
		return vms
	}
	delayed := l.samples[0].vms
	for _, s := range l.samples {
		if now.Sub(s.at) < lag {
			break
		}
		delayed = s.vms
	}
	return delayed
}

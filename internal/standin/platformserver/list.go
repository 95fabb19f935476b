package platformserver

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
)

// maxSamples bounds the history of the VM list.
const maxSamples = 1024

// sample is the VM list as it was at one time.
type sample struct {
	at  time.Time
	vms []platform.VM
}

// laggingList shows the VM list as it was some time ago. It samples the truth whenever it is asked.
type laggingList struct {
	source platform.VMList
	faults *fault.Set
	lag    time.Duration

	mu      sync.Mutex
	samples []sample
}

// List returns the newest sample that is at least as old as the lag, or the oldest that there is.
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
	l.samples = append(l.samples, sample{at: now, vms: vms})
	if len(l.samples) > maxSamples {
		l.samples = l.samples[1:]
	}
	if lag <= 0 {
		return vms
	}
	shown := l.samples[0].vms
	for _, s := range l.samples {
		if now.Sub(s.at) < lag {
			break
		}
		shown = s.vms
	}
	return shown
}

package runner

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
)

const (
	fleetInterval = 30 * time.Second
	// fleetRetryInterval is the time between questions until the entry has answered once.
	fleetRetryInterval = time.Second
	fleetTimeout       = 2 * time.Second
)

// Fleet follows the number of VMs, by which the runners spread their renewals.
type Fleet struct {
	caller peer.Caller
	entry  netip.AddrPort
	size   atomic.Int64
}

// NewFleet returns a Fleet that asks the entry on this VM.
func NewFleet(caller peer.Caller, entry netip.AddrPort) *Fleet {
	f := &Fleet{caller: caller, entry: entry}
	f.size.Store(1)
	return f
}

// Size returns the number of VMs that the entry knew when it was last asked, at least 1.
func (f *Fleet) Size() int { return int(f.size.Load()) }

// Run asks the entry until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	interval := fleetInterval
	if !f.ask(ctx) {
		interval = fleetRetryInterval
	}
	for tick(ctx, interval, nil) {
		if f.ask(ctx) {
			interval = fleetInterval
		}
	}
}

func (f *Fleet) ask(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var answer explain.VMsAnswer
	if f.caller.Call(ctx, f.entry, explain.MethodVMs, struct{}{}, &answer) != nil {
		return false
	}
	f.size.Store(int64(max(len(answer.VMs), 1)))
	return true
}

package runner

import (
	"context"
	"net/netip"
	"slices"
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

// Fleet follows the VMs, by whose number the runners spread their renewals.
type Fleet struct {
	vm     string
	caller peer.Caller
	entry  netip.AddrPort
	others atomic.Pointer[[]netip.AddrPort]
}

// NewFleet returns a Fleet that asks the entry on this VM.
func NewFleet(vm string, caller peer.Caller, entry netip.AddrPort) *Fleet {
	f := &Fleet{vm: vm, caller: caller, entry: entry}
	f.others.Store(&[]netip.AddrPort{})
	return f
}

// Size returns the number of VMs that the entry knew when it was last asked, at least 1.
func (f *Fleet) Size() int { return len(*f.others.Load()) + 1 }

// Others returns a copy of the peer addresses of the other VMs' batch processes.
func (f *Fleet) Others() []netip.AddrPort { return slices.Clone(*f.others.Load()) }

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
	var answer explain.VMsResponse
	if f.caller.Call(ctx, f.entry, explain.MethodVMs, struct{}{}, &answer) != nil {
		return false
	}
	others := []netip.AddrPort{}
	for _, vm := range answer.VMs {
		if address, err := netip.ParseAddrPort(vm.BatchPeers); err == nil && vm.VM != f.vm {
			others = append(others, address)
		}
	}
	f.others.Store(&others)
	return true
}

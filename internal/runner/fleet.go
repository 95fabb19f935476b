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
	fleetRefreshInterval = 30 * time.Second
	// fleetRetryInterval is the time between calls until the first one succeeds.
	fleetRetryInterval = time.Second
	fleetTimeout       = 2 * time.Second
)

// Fleet keeps the list of VMs current. Its size determines how often each runner renews its lease and searches for work.
type Fleet struct {
	vm     string
	caller peer.Caller
	entry  netip.AddrPort
	others atomic.Pointer[[]netip.AddrPort]
}

// NewFleet returns a Fleet that reads the list from the entry on this VM.
func NewFleet(vm string, caller peer.Caller, entry netip.AddrPort) *Fleet {
	f := &Fleet{vm: vm, caller: caller, entry: entry}
	f.others.Store(&[]netip.AddrPort{})
	return f
}

// Size returns the number of VMs in the entry's last response, at least 1.
func (f *Fleet) Size() int { return len(*f.others.Load()) + 1 }

// Others returns a copy of the peer addresses of the other VMs' batch processes.
func (f *Fleet) Others() []netip.AddrPort { return slices.Clone(*f.others.Load()) }

// Run refreshes the list until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	interval := fleetRefreshInterval
	if !f.refresh(ctx) {
		interval = fleetRetryInterval
	}
	for waitInterval(ctx, interval, nil) {
		if f.refresh(ctx) {
			interval = fleetRefreshInterval
		}
	}
}

func (f *Fleet) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	var response explain.VMsResponse
	if f.caller.Call(ctx, f.entry, explain.MethodVMs, struct{}{}, &response) != nil {
		return false
	}
	others := []netip.AddrPort{}
	for _, vm := range response.VMs {
		if address, err := netip.ParseAddrPort(vm.BatchPeers); err == nil && vm.VM != f.vm {
			others = append(others, address)
		}
	}
	f.others.Store(&others)
	return true
}

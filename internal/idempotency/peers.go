package idempotency

import (
	"context"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// MethodRunning asks an entry whether it has a request in progress. It takes a runningRequest and returns a runningResponse.
const MethodRunning peer.Method = "idempotency.running"

// ownerCheckTimeout limits the call to the owner of a record.
const ownerCheckTimeout = 500 * time.Millisecond

type runningRequest struct {
	RequestID string `cbor:"1,keyasint"`
}

type runningResponse struct {
	Running bool `cbor:"1,keyasint"`
}

// Register registers the handler with which other entries ask about requests in progress on this one.
func (l *Ledger) Register(registrar peer.Registrar) {
	registrar.HandleCall(MethodRunning, func(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
		var request runningRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		return runningResponse{Running: l.Running(request.RequestID)}, nil
	})
}

// PeerCheck returns an OwnerCheck that calls the owner's entry. An owner without an entry address among the members
// is Gone, and one that does not respond is Unknown.
func PeerCheck(caller peer.Caller, members member.View) OwnerCheck {
	return func(ctx context.Context, owner idempotency.Owner) idempotency.Liveness {
		address, found := entryAddress(members, owner.VM)
		if !found {
			return idempotency.Gone
		}
		ctx, cancel := context.WithTimeout(ctx, ownerCheckTimeout)
		defer cancel()
		var response runningResponse
		if err := caller.Call(ctx, address, MethodRunning, runningRequest{RequestID: owner.RequestID}, &response); err != nil {
			return idempotency.Unknown
		}
		if response.Running {
			return idempotency.Running
		}
		return idempotency.Gone
	}
}

func entryAddress(members member.View, vm string) (netip.AddrPort, bool) {
	for _, m := range members.Members() {
		if m.VM != vm {
			continue
		}
		address, err := netip.ParseAddrPort(m.EntryPeers)
		return address, err == nil
	}
	return netip.AddrPort{}, false
}

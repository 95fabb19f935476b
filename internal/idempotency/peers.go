package idempotency

import (
	"context"
	"net/netip"
	"time"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// MethodRunning asks an entry whether it has a request in progress: runningQuestion to runningAnswer.
const MethodRunning peer.Method = "idempotency.running"

// checkTimeout bounds the question to the owner of a record.
const checkTimeout = 500 * time.Millisecond

type runningQuestion struct {
	RequestID string `cbor:"1,keyasint"`
}

type runningAnswer struct {
	Running bool `cbor:"1,keyasint"`
}

// Register answers other entries' questions about requests of this one.
func (l *Ledger) Register(registrar peer.Registrar) {
	registrar.HandleCall(MethodRunning, func(_ context.Context, _ peer.Identity, decode func(any) error) (any, error) {
		var question runningQuestion
		if err := decode(&question); err != nil {
			return nil, err
		}
		return runningAnswer{Running: l.Running(question.RequestID)}, nil
	})
}

// PeerCheck returns an OwnerCheck that asks the owner's entry. An owner that is no member is gone.
func PeerCheck(caller peer.Caller, members member.View) OwnerCheck {
	return func(ctx context.Context, owner idempotency.Owner) idempotency.Liveness {
		address, found := entryAddress(members, owner.VM)
		if !found {
			return idempotency.Gone
		}
		ctx, cancel := context.WithTimeout(ctx, checkTimeout)
		defer cancel()
		var answer runningAnswer
		if err := caller.Call(ctx, address, MethodRunning, runningQuestion{RequestID: owner.RequestID}, &answer); err != nil {
			return idempotency.Unknown
		}
		if answer.Running {
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

package jobstore

import (
	"context"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// MethodCancelled tells a batch process that a job was cancelled: Cancelled to struct{}.
const MethodCancelled = "batch.cancelled"

// Cancelled names a job that was cancelled.
type Cancelled struct {
	Job string `cbor:"1,keyasint"`
}

const (
	announceTimeout = 2 * time.Second
	// announceCalls bounds the calls that are open at once.
	announceCalls = 32
)

// AnnounceCancel tells the batch processes of all members that a job was cancelled, so that they
// stop before they next read the job's row, and also while they cannot read it. It returns when
// all have answered or two seconds have passed; failures are left to the reads.
func AnnounceCancel(ctx context.Context, caller peer.Caller, members []member.Member, id string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(announceCalls)
	for _, m := range members {
		to, err := netip.ParseAddrPort(m.BatchPeers)
		if err != nil {
			continue
		}
		group.Go(func() error { return caller.Call(ctx, to, MethodCancelled, Cancelled{Job: id}, &struct{}{}) })
	}
	_ = group.Wait()
}

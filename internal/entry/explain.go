package entry

import (
	"context"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// registerExplain registers the RPC handlers that explain the state of targets and VMs to operators.
func (e *Entry) registerExplain() {
	e.node.HandleCall(explain.MethodTargets, func(context.Context, peer.Identity, func(any) error) (any, error) {
		return explain.TargetsResponse{Targets: e.admission.Targets()}, nil
	})
	e.node.HandleCall(explain.MethodVMs, func(context.Context, peer.Identity, func(any) error) (any, error) {
		return explain.VMsResponse{VMs: vmInfos(e.members.Members())}, nil
	})
}

func vmInfos(members []member.Member) []explain.VMInfo {
	infos := make([]explain.VMInfo, 0, len(members))
	for _, m := range members {
		infos = append(infos, explain.VMInfo{
			VM:               m.VM,
			AvailabilityZone: m.AvailabilityZone,
			State:            m.State.String(),
			Callers:          m.Callers,
			EntryPeers:       m.EntryPeers,
			BatchPeers:       m.BatchPeers,
			OperatorPeers:    m.OperatorPeers,
			Incarnation:      m.Incarnation,
		})
	}
	return infos
}

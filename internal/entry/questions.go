package entry

import (
	"context"

	"github.com/rosemarydyke/rosemarydyke/internal/explain"
	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// registerQuestions answers what operators ask of targets and VMs.
func (e *Entry) registerQuestions() {
	e.node.HandleCall(explain.MethodTargets, func(context.Context, peer.Identity, func(any) error) (any, error) {
		return explain.TargetsResponse{Targets: e.slots.Targets()}, nil
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

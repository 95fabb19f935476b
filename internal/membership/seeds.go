package membership

import (
	"context"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/member"
)

// seedTimeout bounds one request for the platform's list of VMs.
const seedTimeout = 5 * time.Second

// runSeeds refreshes the seeds from the platform's list of VMs in each SeedPeriod.
func (s *Service) runSeeds() {
	s.handle(member.SeedsFound{Addresses: s.cfg.Seeds})
	if s.cfg.VMs == nil {
		return
	}
	for {
		wait := s.cfg.SeedPeriod
		if err := s.refreshSeeds(); err != nil {
			s.cfg.Log.Warn().Err(err).Msg("list of VMs not read, keeping the previous seeds")
			wait = min(seedRetryInterval, wait)
		}
		select {
		case <-s.ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (s *Service) refreshSeeds() error {
	ctx, cancel := context.WithTimeout(s.ctx, seedTimeout)
	defer cancel()
	vms, err := s.cfg.VMs.List(ctx)
	if err != nil {
		return err
	}
	addresses := append([]string(nil), s.cfg.Seeds...)
	for _, vm := range vms {
		if vm.Role == platform.RoleEntry && vm.State == platform.VMLive {
			addresses = append(addresses, vm.Address)
		}
	}
	s.handle(member.SeedsFound{Addresses: addresses})
	return nil
}

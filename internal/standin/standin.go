// Package standin emulates the platform and the targets for tests and for the demo.
package standin

import (
	"context"
	"fmt"
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/platform"
	"github.com/rosemarydyke/rosemarydyke/internal/platform/memory"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/engine"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/fault"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/host"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/platformserver"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/service"
	"github.com/rosemarydyke/rosemarydyke/internal/standin/streamtarget"
)

// Config lists the stand-ins of one process.
type Config struct {
	// Platform is the TCP address (IP:port) of the platform's services. Default 127.0.0.1:0.
	Platform string `yaml:"platform" validate:"omitempty,hostname_port"`
	// Control is the TCP address (IP:port) of the control interface. Default 127.0.0.1:0.
	Control string `yaml:"control" validate:"omitempty,hostname_port"`
	// VMListLag is the delay after which a change shows in the platform's VM list. Default 0.
	VMListLag time.Duration `yaml:"vm_list_lag" validate:"min=0"`
	// EntryVMs are the entry VMs in the platform's list.
	EntryVMs []EntryVM `yaml:"entry_vms" validate:"dive"`
	// Weights are the sizes, in bytes, of the models in the weight store.
	Weights map[string]int64 `yaml:"weights"`
	// WeightRequests is the rate limit of the weight store in requests per second. Default 1.
	WeightRequests float64 `yaml:"weight_requests_per_second" validate:"min=0"`
	// Engines are the model engines.
	Engines []engine.Config `yaml:"engines" validate:"dive"`
	// Services are the plain services.
	Services []service.Config `yaml:"services" validate:"dive"`
	// StreamTargets are targets of rosemary-ingress.
	StreamTargets []streamtarget.Config `yaml:"stream_targets" validate:"dive"`
}

// EntryVM is an entry VM in the platform's list.
type EntryVM struct {
	Name string `yaml:"name" validate:"required"`
	// Address is the peer address (IP:port) of rosemary-entry.
	Address          string `yaml:"address" validate:"required,hostname_port"`
	AvailabilityZone string `yaml:"availability_zone" validate:"required"`
}

// defaultAddress makes the kernel pick a free port.
const defaultAddress = "127.0.0.1:0"

// Set is a running set of stand-ins.
type Set struct {
	// Memory is the state of the platform.
	Memory *memory.Platform
	// Faults holds the active faults of all stand-ins.
	Faults *fault.Set
	// Engines and Services are in the order of the Config.
	Engines  []*engine.Engine
	Services []*service.Service

	platform      *host.Host
	control       *host.Host
	streamTargets []*streamtarget.Target
	targetNames   []string
}

// Start starts all stand-ins, which run until ctx ends or Stop is called.
func Start(ctx context.Context, cfg Config) (*Set, error) {
	s := &Set{Memory: memory.New(), Faults: &fault.Set{}}
	if err := s.start(ctx, cfg); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

func (s *Set) start(ctx context.Context, cfg Config) error {
	for _, c := range cfg.Engines {
		c.Faults = s.Faults
		e, err := engine.Start(ctx, c)
		if err != nil {
			return fmt.Errorf("engine %s: %w", c.Name, err)
		}
		s.Engines = append(s.Engines, e)
		s.targetNames = append(s.targetNames, c.Name)
	}
	for _, c := range cfg.Services {
		c.Faults = s.Faults
		v, err := service.Start(ctx, c)
		if err != nil {
			return fmt.Errorf("service %s: %w", c.Name, err)
		}
		s.Services = append(s.Services, v)
		s.targetNames = append(s.targetNames, c.Name)
	}
	for _, c := range cfg.StreamTargets {
		c.Address = orDefault(c.Address)
		t, err := streamtarget.Listen(c)
		if err != nil {
			return fmt.Errorf("stream target %s: %w", c.ID, err)
		}
		s.streamTargets = append(s.streamTargets, t)
	}
	s.Memory.SetVMs(s.vmList(cfg))
	server := platformserver.New(platformserver.Config{
		Memory:         s.Memory,
		Faults:         s.Faults,
		VMListLag:      cfg.VMListLag,
		Weights:        cfg.Weights,
		WeightRequests: cfg.WeightRequests,
	})
	var err error
	if s.platform, err = host.Start(ctx, orDefault(cfg.Platform), server); err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	if s.control, err = host.Start(ctx, orDefault(cfg.Control), s.controlRoutes()); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// PlatformURL returns the base URL of the platform's services.
func (s *Set) PlatformURL() string { return s.platform.URL() }

// ControlURL returns the base URL of the control interface.
func (s *Set) ControlURL() string { return s.control.URL() }

// Stop stops all stand-ins.
func (s *Set) Stop() {
	if s.control != nil {
		s.control.Stop()
	}
	if s.platform != nil {
		s.platform.Stop()
	}
	for _, e := range s.Engines {
		e.Stop()
	}
	for _, v := range s.Services {
		v.Stop()
	}
	for _, t := range s.streamTargets {
		t.Close()
	}
}

func (s *Set) vmList(cfg Config) []platform.VM {
	var vms []platform.VM
	for _, e := range cfg.EntryVMs {
		vms = append(vms, platform.VM{Name: e.Name, Address: e.Address, AvailabilityZone: e.AvailabilityZone, Role: platform.RoleEntry, State: platform.VMLive})
	}
	for i, e := range s.Engines {
		vms = append(vms, targetVM(cfg.Engines[i].Name, e.Address(), cfg.Engines[i].AvailabilityZone))
	}
	for i, v := range s.Services {
		vms = append(vms, targetVM(cfg.Services[i].Name, v.Address(), cfg.Services[i].AvailabilityZone))
	}
	return vms
}

func targetVM(name, address, zone string) platform.VM {
	return platform.VM{Name: name, Address: address, AvailabilityZone: zone, Role: platform.RoleTarget, State: platform.VMLive}
}

func orDefault(address string) string {
	if address == "" {
		return defaultAddress
	}
	return address
}

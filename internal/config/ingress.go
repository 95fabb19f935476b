package config

import (
	"fmt"
	"time"

	"github.com/rosemarydyke/rosemarydyke/intake"
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
)

// Ingress holds the settings of rosemary-ingress.
type Ingress struct {
	VM VM `yaml:"vm"`
	// Store is the address (IP:port) of the platform's store.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// Clients is the TCP address (IP:port) on which clients reach this VM.
	Clients string `yaml:"clients" validate:"required,hostname_port"`
	// Ready is the TCP address (IP:port) of the readiness endpoint.
	Ready string `yaml:"ready" validate:"required,hostname_port"`
	// Directory is the TCP address (IP:port) of the endpoint that lists the VMs for clients. Empty disables it on this VM.
	Directory string `yaml:"directory" validate:"omitempty,hostname_port"`
	// Peers is the UDP and TCP address (IP:port) on which other VMs reach this one. The port is the same on all VMs.
	Peers string `yaml:"peers" validate:"required,hostname_port"`
	// Seeds are addresses of other VMs. Only the IP addresses are used; the port is that of Peers.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// Metrics is the TCP address (IP:port) of /metrics.
	Metrics string `yaml:"metrics" validate:"required,hostname_port"`
	// StopGrace is the time from SIGTERM until the process is killed. Default 8s.
	StopGrace time.Duration `yaml:"stop_grace" validate:"min=0"`
	// MaxTTL bounds how long clients may cache the addresses of VMs. Default 5s.
	MaxTTL time.Duration `yaml:"max_ttl" validate:"min=0"`
	// ResultRetention is how long a job's results are retained after its submission. Default 120s.
	ResultRetention time.Duration `yaml:"result_retention" validate:"min=0"`
	// KeyRevocation is how long after a change of the configuration no VM may accept a key that the change removed. Zero
	// means that a VM accepts keys however old its configuration is.
	KeyRevocation time.Duration `yaml:"key_revocation" validate:"min=0"`
	// Capabilities are the optional parts of the platform's protocol that this deployment uses, by the platform's names.
	Capabilities []string `yaml:"capabilities"`
	// MemoryMB is the memory of the VM, in MB. Default 256.
	MemoryMB int64 `yaml:"memory_mb" validate:"min=0"`
	// MaxFDs is the number of descriptors that the process may open. Default: the limit that it finds.
	MaxFDs int `yaml:"max_fds" validate:"min=0"`
	// ClientMemoryMB is the memory that all clients may hold together, in MB: connections, requests and responses. Default 0.4 of
	// MemoryMB.
	ClientMemoryMB int64 `yaml:"client_memory_mb" validate:"min=0"`
	// ClientConnections is the number of clients that are served at once. Default: half of the descriptors that are not kept for
	// files, and as many as take half of ClientMemoryMB at most.
	ClientConnections int `yaml:"client_connections" validate:"min=0"`
	// CPUShare is the share of a core that the process may use, and CoreSpeed the speed of that core relative to the other
	// VMs'. Both default to 1. VMs with more processor time coordinate slots and are listed to clients more often.
	CPUShare  float64 `yaml:"cpu_share" validate:"min=0"`
	CoreSpeed float64 `yaml:"core_speed" validate:"min=0"`
	Log       Log     `yaml:"log"`
}

const (
	defaultStopGrace       = 8 * time.Second
	defaultMaxTTL          = 5 * time.Second
	defaultResultRetention = 120 * time.Second
	defaultMemoryMB        = 256
)

// Millicores returns the processor share of the VM in thousandths of a core.
func (i *Ingress) Millicores() int { return max(int(i.CPUShare*i.CoreSpeed*1000), 1) }

// SetDefaults sets omitted optional settings to their defaults.
func (i *Ingress) SetDefaults() {
	if i.StopGrace == 0 {
		i.StopGrace = defaultStopGrace
	}
	if i.MaxTTL == 0 {
		i.MaxTTL = defaultMaxTTL
	}
	if i.ResultRetention == 0 {
		i.ResultRetention = defaultResultRetention
	}
	if i.CPUShare == 0 {
		i.CPUShare = 1
	}
	if i.CoreSpeed == 0 {
		i.CoreSpeed = 1
	}
	if i.MemoryMB == 0 {
		i.MemoryMB = defaultMemoryMB
	}
	if i.MaxFDs == 0 {
		i.MaxFDs = clientconn.ProcessDescriptors()
	}
	if i.ClientMemoryMB == 0 {
		i.ClientMemoryMB = intake.ClientMemory(i.MemoryMB)
	}
	if i.ClientConnections == 0 {
		i.ClientConnections = clientconn.DefaultConnections(i.MaxFDs, i.ClientMemoryMB<<20)
	}
}

// Check returns an error for settings that contradict each other. Defaults have been set.
func (i *Ingress) Check() error {
	if i.ClientMemoryMB >= i.MemoryMB {
		return fmt.Errorf("client_memory_mb: %d MB is not less than memory_mb, %d MB", i.ClientMemoryMB, i.MemoryMB)
	}
	if i.ClientConnections >= i.MaxFDs {
		return fmt.Errorf("client_connections: %d is not less than max_fds, %d", i.ClientConnections, i.MaxFDs)
	}
	return nil
}

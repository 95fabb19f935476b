package config

import "time"

// Ingress holds the settings of rosemary-ingress.
type Ingress struct {
	VM VM `yaml:"vm"`
	// Store is the address (IP:port) of the platform's store.
	Store string `yaml:"store" validate:"required,hostname_port"`
	// Clients is the TCP address (IP:port) on which clients reach this VM.
	Clients string `yaml:"clients" validate:"required,hostname_port"`
	// Ready is the TCP address (IP:port) of the readiness check.
	Ready string `yaml:"ready" validate:"required,hostname_port"`
	// Directory is the TCP address (IP:port) on which clients ask which VMs to use. Empty means that this VM does not answer them.
	Directory string `yaml:"directory" validate:"omitempty,hostname_port"`
	// Peers is the UDP address (IP:port) on which other VMs reach this one. The port is the same on all VMs.
	Peers string `yaml:"peers" validate:"required,hostname_port"`
	// Seeds are addresses of other VMs. Only their IP addresses count.
	Seeds []string `yaml:"seeds" validate:"dive,hostname_port"`
	// Metrics is the TCP address (IP:port) of /metrics.
	Metrics string `yaml:"metrics" validate:"required,hostname_port"`
	// StopGrace is the time from SIGTERM until the process is killed. Default 8s.
	StopGrace time.Duration `yaml:"stop_grace" validate:"min=0"`
	// MaxTTL bounds how long clients keep the addresses of VMs. Default 5s.
	MaxTTL time.Duration `yaml:"max_ttl" validate:"min=0"`
	// ResultRetention is how long after a job's submission its results have to be kept. Default 120s.
	ResultRetention time.Duration `yaml:"result_retention" validate:"min=0"`
	// MemoryMB is the memory of the VM, in MB. Default 256.
	MemoryMB int64 `yaml:"memory_mb" validate:"min=0"`
	Log      Log   `yaml:"log"`
}

const (
	defaultStopGrace       = 8 * time.Second
	defaultMaxTTL          = 5 * time.Second
	defaultResultRetention = 120 * time.Second
	defaultMemoryMB        = 256
)

// SetDefaults fills what the file leaves out.
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
	if i.MemoryMB == 0 {
		i.MemoryMB = defaultMemoryMB
	}
}

// Package config loads and validates the YAML settings of a process.
package config

import (
	"cmp"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarydyke/rosemarydyke/intake"
	"github.com/rosemarydyke/rosemarydyke/internal/clientconn"
	"github.com/rosemarydyke/rosemarydyke/internal/strictyaml"
)

// VM identifies the VM that a process runs on. Processes take it from their settings only.
type VM struct {
	// Name is unique among VMs that are alive at the same time.
	Name string `yaml:"name" validate:"required"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `yaml:"availability_zone" validate:"required"`
	// Region is the region of the availability zone.
	Region string `yaml:"region" validate:"required"`
}

// Platform holds the base URLs of the platform's services.
type Platform struct {
	// URL is the base URL of the table, the object store, the VM list and the weight store.
	URL string `yaml:"url" validate:"required,url"`
	// Timeout bounds one call. Default 2s.
	Timeout time.Duration `yaml:"timeout" validate:"min=0"`
}

// TLS holds the certificate and key files for mutual TLS between processes.
type TLS struct {
	// CA is the certificate file of the authority that signs all VMs' certificates.
	CA string `yaml:"ca" validate:"required"`
	// Certificate is the file with this VM's certificate.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the file with this VM's private key.
	Key string `yaml:"key" validate:"required"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `yaml:"level" validate:"omitempty,oneof=debug info warn error"`
}

// Tracing configures the export of spans.
type Tracing struct {
	// OTLPURL is the URL of an OTLP/HTTP collector. Empty disables the export.
	OTLPURL string `yaml:"otlp_url" validate:"omitempty,url"`
}

// Common holds the settings of every daemon.
type Common struct {
	VM       VM       `yaml:"vm"`
	Platform Platform `yaml:"platform"`
	TLS      TLS      `yaml:"tls"`
	Log      Log      `yaml:"log"`
	Tracing  Tracing  `yaml:"tracing"`
	// Status is the TCP address (IP:port) of /metrics, /healthz and /readyz.
	Status string `yaml:"status" validate:"required,hostname_port"`
	// Peers is the UDP address (IP:port) on which other processes reach this one.
	Peers string `yaml:"peers" validate:"required,hostname_port"`
	// MemoryMB is the memory that this process may use, in MB. Default 256.
	MemoryMB int64 `yaml:"memory_mb" validate:"min=0"`
}

// ResponseBytes returns the bound on what responses of targets hold together.
func (c *Common) ResponseBytes() int64 {
	return intake.ResponseMemory(cmp.Or(c.MemoryMB, defaultMemoryMB) << 20)
}

// CallerBounds returns the bounds on the callers of the process: the shares of its memory and descriptors that rosemary-ingress has, and
// times that suit long responses.
func (c *Common) CallerBounds(log zerolog.Logger) clientconn.Config {
	memory := intake.ClientMemory(cmp.Or(c.MemoryMB, defaultMemoryMB) << 20)
	return clientconn.Config{
		Memory:        memory,
		Connections:   clientconn.DefaultConnections(clientconn.ProcessDescriptors(), memory),
		Limits:        func() clientconn.Limits { return clientconn.Limits{HeadTimeout: headTimeout, IdleTimeout: idleTimeout} },
		LongResponses: true,
		Log:           log,
	}
}

const (
	headTimeout = 10 * time.Second
	idleTimeout = 2 * time.Minute
)

// Entry holds the settings of rosemary-entry.
type Entry struct {
	Common `yaml:",inline"`
	// Callers is the TCP address (IP:port) on which callers reach this entry.
	Callers string `yaml:"callers" validate:"required,hostname_port"`
	// BatchPeers is the peer address of rosemary-batch on this VM.
	BatchPeers string `yaml:"batch_peers" validate:"required,hostname_port"`
	// OperatorPeers is the peer address of rosemary-operator on this VM.
	OperatorPeers string `yaml:"operator_peers" validate:"required,hostname_port"`
}

// Batch holds the settings of rosemary-batch.
type Batch struct {
	Common `yaml:",inline"`
	// Entry is the peer address of rosemary-entry on this VM.
	Entry string `yaml:"entry" validate:"required,hostname_port"`
}

// Operator holds the settings of rosemary-operator.
type Operator struct {
	Common `yaml:",inline"`
	// Operators is the TCP address (IP:port) of the operators' HTTP API.
	Operators string `yaml:"operators" validate:"required,hostname_port"`
	// RootKeySHA256 is the hexadecimal SHA-256 digest of a key with access to the whole settings tree, for setting up
	// the first operators. Empty means that there is none.
	RootKeySHA256 string `yaml:"root_key_sha256" validate:"omitempty,len=64,hexadecimal"`
	// Entry is the peer address of rosemary-entry on this VM.
	Entry string `yaml:"entry" validate:"required,hostname_port"`
}

// Load decodes the file at path into out, a pointer to a settings struct. An unknown key, a wrong
// type or a missing value is an error that names the file, the line and the key.
func Load(path string, out any) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, content, out)
}

// Parse is like Load, but takes the content of the file. The name is used in errors.
func Parse(name string, content []byte, out any) error {
	if err := strictyaml.Decode(content, out); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

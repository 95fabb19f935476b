// Package settings models the operators' settings: a tree of YAML documents under paths. Subtrees are owned by teams.
// Each change of the tree is atomic and makes a new revision.
package settings

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/account"
)

// Client is a client account of the request API.
// Its path is TEAM-PATH/clients/NAME.
type Client struct {
	// Name is unique across the fleet.
	Name string `yaml:"-"`
	// Owner is the path of the team that the client belongs to.
	Owner string `yaml:"-"`
	// KeySHA256 holds the hexadecimal SHA-256 digests of the client's API keys.
	KeySHA256 []string `yaml:"key_sha256" validate:"required,min=1,dive,len=64,hexadecimal"`
	// Weight is the client's share of contended slots relative to other clients. Default 1.
	Weight float64 `yaml:"weight" validate:"min=0"`
	// Deadline limits the time to the first token of online requests that set no deadline themselves. Default 30s.
	Deadline time.Duration `yaml:"deadline" validate:"min=0"`
}

// Model is a model that requests can name. Its path is fleet/models/NAME.
type Model struct {
	Name string `yaml:"-"`
	// MaxTokens is the maximum completion length that a request may ask for. Default 4096.
	MaxTokens int `yaml:"max_tokens" validate:"min=0"`
}

// Target is a back end: a model engine or a plain service. Its path is fleet/targets/NAME.
type Target struct {
	Name string `yaml:"-"`
	// Address is the target's HTTP address (IP:port).
	Address string `yaml:"address" validate:"required,hostname_port"`
	// AvailabilityZone is where the target runs.
	AvailabilityZone string `yaml:"availability_zone" validate:"required"`
	// Model is the model that the engine serves; empty for a plain service.
	Model string `yaml:"model"`
	// Service is the plain service that the target serves; empty for an engine.
	Service string `yaml:"service"`
	// Slots is the number of requests that the target runs concurrently.
	Slots int `yaml:"slots" validate:"required,min=1"`
	// Managed targets are engines that the system orders to load their model, adapters and version and to take their
	// role. They get no requests before that is done.
	Managed bool `yaml:"managed"`
	// Adapters are the adapters that a managed engine should load.
	Adapters []string `yaml:"adapters"`
	// Version is the version of the model that a managed engine should load; empty for any.
	Version string `yaml:"version"`
	// Role is the role that a managed engine should take; empty for any.
	Role string `yaml:"role"`
	// ChecksFencing reports whether the target rejects an order with an old fencing token.
	ChecksFencing bool `yaml:"checks_fencing"`
}

// Service is a plain service behind /services/NAME/. Its path is TEAM-PATH/services/NAME.
type Service struct {
	// Name is unique across the fleet.
	Name string `yaml:"-"`
	// Owner is the path of the team that the service belongs to.
	Owner string `yaml:"-"`
	// Timeout limits one call. Default 30s.
	Timeout time.Duration `yaml:"timeout" validate:"min=0"`
	// IdempotentMethods are the HTTP methods that are idempotent. Default: those that RFC 9110 section 9.2.2 defines so.
	IdempotentMethods []string `yaml:"idempotent_methods"`
	// Clients are the clients that may call the service. Empty means all.
	Clients []string `yaml:"clients"`
}

// Operator is an operator account of the operator API. Its path is fleet/operators/NAME.
type Operator struct {
	Name string `yaml:"-"`
	// KeySHA256 is the hexadecimal SHA-256 digest of the operator's key.
	KeySHA256 string `yaml:"key_sha256" validate:"required,len=64,hexadecimal"`
	// Path is the subtree that the operator may read and change; "" is the whole tree.
	Path string `yaml:"path"`
}

// Snapshot is the whole, parsed tree at one revision. It is immutable.
type Snapshot struct {
	// Revision is the number of the revision; zero is the empty tree.
	Revision uint64
	// Documents holds the YAML text of each document by path.
	Documents map[string]string

	Clients   map[string]*Client
	Models    map[string]*Model
	Targets   map[string]*Target
	Services  map[string]*Service
	Operators map[string]*Operator

	// changed holds, for each document and each of its ancestors, the newest revision that changed it.
	changed      map[string]uint64
	clientsByKey account.KeyIndex[Client]
	// operatorsByKey is indexed by the lower-case digest of the key.
	operatorsByKey map[string]*Operator
}

// Source provides the revision that is in force on this VM.
type Source interface {
	// Current returns the newest revision that the VM knows. The revision number never decreases.
	Current() *Snapshot
	// Fresh reports whether the VM has confirmed its revision recently enough to accept new work.
	Fresh() bool
}

// Package wire declares the HTTP messages of the VM list and the weight store. The client and the stand-in share them.
package wire

import "github.com/rosemarydyke/rosemarydyke/internal/platform"

// Paths of the services. An object's or a model's name follows its prefix.
const (
	PathVMs       = "/vms"
	PrefixWeights = "/weights/"
)

// VMsResponse lists VMs.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}

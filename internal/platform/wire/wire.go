// Package wire declares the HTTP messages of the VM list and the weight store, shared by the client and the stand-in
// platform.
package wire

import "github.com/rosemarydyke/rosemarydyke/internal/platform"

// Paths of the services. The prefix is followed by the name of a model.
const (
	PathVMs       = "/vms"
	PrefixWeights = "/weights/"
)

// VMsResponse is the response to a request for PathVMs.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}

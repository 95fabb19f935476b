// Package wire declares the HTTP messages of the platform's services. The client and the stand-in share them.
package wire

import "github.com/rosemarydyke/rosemarydyke/internal/platform"

// Paths of the services. An object's or a model's name follows its prefix.
const (
	PathTableGet    = "/table/get"
	PathTableScan   = "/table/scan"
	PathTableCommit = "/table/commit"
	PrefixObjects   = "/objects/"
	PathVMs         = "/vms"
	PrefixWeights   = "/weights/"
)

// GetRequest asks for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// ScanRequest asks for rows by prefix.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

// RowsResponse answers GetRequest and ScanRequest. With status 409 it carries the rows of the
// conditions that failed.
type RowsResponse struct {
	Rows []platform.Row `json:"rows"`
}

// CommitResponse answers a transaction that was applied.
type CommitResponse struct {
	Version uint64 `json:"version"`
}

// VMsResponse lists VMs.
type VMsResponse struct {
	VMs []platform.VM `json:"vms"`
}

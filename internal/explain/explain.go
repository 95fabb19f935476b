// Package explain defines the messages that explain the state of requests, items, jobs, targets and VMs to operators.
package explain

import "time"

// Peer methods of queries.
const (
	// MethodRequest queries an entry for one request: RequestQuery to Explanation.
	MethodRequest = "explain.request"
	// MethodTargets queries an entry for the targets that it knows: struct{} to TargetsResponse.
	MethodTargets = "explain.targets"
	// MethodVMs queries an entry for the members that it knows: struct{} to VMsResponse.
	MethodVMs = "explain.vms"
	// MethodItem queries a batch process for one item: ItemQuery to Explanation.
	MethodItem = "explain.item"
)

// RequestQuery queries the history of one request.
type RequestQuery struct {
	ID string `cbor:"1,keyasint"`
}

// ItemQuery queries the history of one item of a job, as far as the batch process holds it in memory.
type ItemQuery struct {
	Job      string `cbor:"1,keyasint"`
	CustomID string `cbor:"2,keyasint"`
}

// Explanation is the state and history of a request, an item or a job, its subject.
type Explanation struct {
	// Found is false if the process does not know the subject.
	Found   bool   `cbor:"1,keyasint" json:"found"`
	Subject string `cbor:"2,keyasint" json:"subject"`
	// Summary describes the state of the subject in one sentence.
	Summary string  `cbor:"3,keyasint" json:"summary"`
	Events  []Event `cbor:"4,keyasint" json:"events"`
	// Client is the client that the subject belongs to. Only operators of the client's team may read the explanation.
	Client string `cbor:"5,keyasint" json:"client,omitempty"`
}

// Event is one event in the history of a subject.
type Event struct {
	At   time.Time `cbor:"1,keyasint" json:"at"`
	VM   string    `cbor:"2,keyasint" json:"vm"`
	Text string    `cbor:"3,keyasint" json:"text"`
}

// TargetInfo is the state of a target as known to one entry.
type TargetInfo struct {
	Name             string `cbor:"1,keyasint" json:"name"`
	Address          string `cbor:"2,keyasint" json:"address"`
	AvailabilityZone string `cbor:"3,keyasint" json:"availability_zone"`
	Serves           string `cbor:"4,keyasint" json:"serves"`
	// Owner is the VM that grants the target's slots.
	Owner string `cbor:"5,keyasint" json:"owner"`
	// State is healthy, ejected, probing, slow-start or leaving.
	State  string `cbor:"6,keyasint" json:"state"`
	Reason string `cbor:"7,keyasint" json:"reason,omitempty"`
	Slots  int    `cbor:"8,keyasint" json:"slots"`
	Online int    `cbor:"9,keyasint" json:"online"`
	Batch  int    `cbor:"10,keyasint" json:"batch"`
}

// TargetsResponse lists targets.
type TargetsResponse struct {
	Targets []TargetInfo `cbor:"1,keyasint" json:"targets"`
}

// VMInfo is one VM as a member of the system.
type VMInfo struct {
	VM               string `cbor:"1,keyasint" json:"vm"`
	AvailabilityZone string `cbor:"2,keyasint" json:"availability_zone"`
	State            string `cbor:"3,keyasint" json:"state"`
	Callers          string `cbor:"4,keyasint" json:"callers"`
	EntryPeers       string `cbor:"5,keyasint" json:"entry_peers"`
	BatchPeers       string `cbor:"6,keyasint" json:"batch_peers"`
	OperatorPeers    string `cbor:"7,keyasint" json:"operator_peers"`
	Incarnation      uint64 `cbor:"8,keyasint" json:"incarnation"`
}

// VMsResponse lists VMs.
type VMsResponse struct {
	VMs []VMInfo `cbor:"1,keyasint" json:"vms"`
}

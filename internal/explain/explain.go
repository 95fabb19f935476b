// Package explain records and answers why a request, an item or a job is where it is.
package explain

import "time"

// Peer methods of questions.
const (
	// MethodRequest asks an entry about one request: RequestQuery to Explanation.
	MethodRequest = "explain.request"
	// MethodTargets asks an entry for what it knows of targets: struct{} to TargetsResponse.
	MethodTargets = "explain.targets"
	// MethodVMs asks an entry for the members it knows: struct{} to VMsResponse.
	MethodVMs = "explain.vms"
	// MethodItem asks a batch process about one item: ItemQuery to Explanation.
	MethodItem = "explain.item"
)

// RequestQuery asks about one request.
type RequestQuery struct {
	ID string `cbor:"1,keyasint"`
}

// ItemQuery asks about one item of a job that may be in the batch process's memory.
type ItemQuery struct {
	Job      string `cbor:"1,keyasint"`
	CustomID string `cbor:"2,keyasint"`
}

// Explanation is a dated account.
type Explanation struct {
	// Found is false when the process knows nothing of the subject.
	Found   bool   `cbor:"1,keyasint" json:"found"`
	Subject string `cbor:"2,keyasint" json:"subject"`
	// Summary is one sentence in plain words.
	Summary string  `cbor:"3,keyasint" json:"summary"`
	Events  []Event `cbor:"4,keyasint" json:"events"`
	// Client is the client that the subject belongs to. Only operators of the client's team may read the account.
	Client string `cbor:"5,keyasint" json:"client,omitempty"`
}

// Event is one step of an account.
type Event struct {
	At   time.Time `cbor:"1,keyasint" json:"at"`
	VM   string    `cbor:"2,keyasint" json:"vm"`
	Text string    `cbor:"3,keyasint" json:"text"`
}

// TargetInfo is what one entry knows of a target.
type TargetInfo struct {
	Name             string `cbor:"1,keyasint" json:"name"`
	Address          string `cbor:"2,keyasint" json:"address"`
	AvailabilityZone string `cbor:"3,keyasint" json:"availability_zone"`
	Serves           string `cbor:"4,keyasint" json:"serves"`
	// Owner is the VM that hands out the target's slots.
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

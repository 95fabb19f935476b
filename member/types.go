// Package member decides which VMs are alive, in the manner of SWIM (Das, Gupta, Motivala 2002):
// random probes, indirect probes, suspicion before death, and incarnations.
package member

// State is what the members know of one VM.
type State uint8

// States of a member. A higher incarnation overrides a lower one; within one incarnation the
// later state of this list overrides the earlier.
const (
	// Alive members answer probes and take work.
	Alive State = iota + 1
	// Suspect members missed a probe and can still refute the suspicion.
	Suspect
	// Leaving members finish what they have and take no new work.
	Leaving
	// Dead members failed to refute a suspicion, or have left.
	Dead
)

// Member is one entry VM.
type Member struct {
	// VM is the VM's name.
	VM string `cbor:"1,keyasint"`
	// Incarnation rises at each start of the VM's entry process, and when it refutes a suspicion.
	Incarnation      uint64 `cbor:"2,keyasint"`
	State            State  `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	Region           string `cbor:"5,keyasint"`
	// Callers is the address (IP:port) that callers connect to.
	Callers string `cbor:"6,keyasint"`
	// EntryPeers, BatchPeers and OperatorPeers are the peer addresses (IP:port) of the VM's processes.
	EntryPeers    string `cbor:"7,keyasint"`
	BatchPeers    string `cbor:"8,keyasint"`
	OperatorPeers string `cbor:"9,keyasint"`
}

// View gives the members that this VM knows, itself included.
type View interface {
	// Members returns a copy, ordered by VM name, without dead members.
	Members() []Member
	// Self returns this VM's own entry.
	Self() Member
}

// String returns the state's name as operators see it.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

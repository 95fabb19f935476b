// Package member implements group membership and failure detection between VMs with the SWIM
// protocol (Das, Gupta, Motivala 2002): random probes, indirect probes, suspicion before death, and
// incarnations.
package member

import "cmp"

// State is the membership state of a VM.
type State uint8

// States of a member. A higher incarnation overrides a lower one; within one incarnation the
// later state of this list overrides the earlier.
const (
	// Alive members answer probes and accept work.
	Alive State = iota + 1
	// Suspect members missed a probe and can still refute the suspicion.
	Suspect
	// Leaving members finish the work they have and accept no new work.
	Leaving
	// Dead members did not refute a suspicion in time, or have left.
	Dead
)

// Member is one entry VM.
type Member struct {
	// VM is the VM's name.
	VM string `cbor:"1,keyasint"`
	// Incarnation increases at each start of the VM's entry process, and when it refutes a suspicion.
	Incarnation      uint64 `cbor:"2,keyasint"`
	State            State  `cbor:"3,keyasint"`
	AvailabilityZone string `cbor:"4,keyasint"`
	Region           string `cbor:"5,keyasint"`
	// Callers is the address (IP:port) that clients connect to.
	Callers string `cbor:"6,keyasint"`
	// EntryPeers, BatchPeers and OperatorPeers are the peer addresses (IP:port) of the VM's processes.
	EntryPeers    string `cbor:"7,keyasint"`
	BatchPeers    string `cbor:"8,keyasint"`
	OperatorPeers string `cbor:"9,keyasint"`
	// Millicores is the VM's processor share in thousandths of a core. Zero means unknown.
	Millicores int `cbor:"10,keyasint,omitempty"`
}

// defaultMillicores is the assumed processor share of a VM that does not state it.
const defaultMillicores = 1000

// ProcessorShare returns the VM's processor share in thousandths of a core, or that of a whole core if it is unknown.
func (m Member) ProcessorShare() int { return cmp.Or(m.Millicores, defaultMillicores) }

// View provides the members known to this VM, itself included.
type View interface {
	// Members returns a copy of the members that are not dead, ordered by VM name.
	Members() []Member
	// Self returns this VM as a member.
	Self() Member
}

// String returns the state's name as shown to operators.
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

package member

// Kind says what a message is for.
type Kind uint8

// Kinds of messages.
const (
	// KindProbe asks the receiver for an ack.
	KindProbe Kind = iota + 1
	// KindAck answers a probe, directly or through a relay.
	KindAck
	// KindIndirectProbe asks the receiver to probe Subject at Address and to relay the ack.
	KindIndirectProbe
	// KindNack tells the sender of an indirect probe that the relay is alive but got no ack in time.
	KindNack
	// KindGossip only carries updates.
	KindGossip
)

// Message is one datagram between members.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Sequence matches acks and nacks to probes.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// Subject is the VM that a probe is meant for. Empty means whoever has the address.
	Subject string `cbor:"3,keyasint,omitempty"`
	// Address is where an indirect probe is to be sent.
	Address string   `cbor:"4,keyasint,omitempty"`
	Updates []Update `cbor:"5,keyasint,omitempty"`
	// Revision is the newest settings revision that the sender knows.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
}

// Update is a claim about one VM.
type Update struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	// Accuser is the VM that suspects or has declared the death. In a claim of death it is the VM itself when it has left.
	Accuser string `cbor:"4,keyasint,omitempty"`
	// Contact is absent when receivers that know this start of the VM's process have it already.
	Contact *Contact `cbor:"5,keyasint,omitempty"`
}

// Contact says where a VM is and how to reach it. It is constant from start to end of a VM's entry process.
type Contact struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	Region           string `cbor:"2,keyasint"`
	Callers          string `cbor:"3,keyasint"`
	EntryPeers       string `cbor:"4,keyasint"`
	BatchPeers       string `cbor:"5,keyasint"`
	OperatorPeers    string `cbor:"6,keyasint"`
}

func contactOf(m Member) *Contact {
	return &Contact{
		AvailabilityZone: m.AvailabilityZone,
		Region:           m.Region,
		Callers:          m.Callers,
		EntryPeers:       m.EntryPeers,
		BatchPeers:       m.BatchPeers,
		OperatorPeers:    m.OperatorPeers,
	}
}

func (c *Contact) applyTo(m *Member) {
	m.AvailabilityZone = c.AvailabilityZone
	m.Region = c.Region
	m.Callers = c.Callers
	m.EntryPeers = c.EntryPeers
	m.BatchPeers = c.BatchPeers
	m.OperatorPeers = c.OperatorPeers
}

// Upper bounds of the encoded size of an update without its strings, in bytes.
const (
	updateOverheadBytes  = 24
	contactOverheadBytes = 20
)

// size is an upper bound of the update's encoded size in bytes.
func (u Update) size() int {
	size := updateOverheadBytes + len(u.VM) + len(u.Accuser)
	if c := u.Contact; c != nil {
		size += contactOverheadBytes + len(c.AvailabilityZone) + len(c.Region) +
			len(c.Callers) + len(c.EntryPeers) + len(c.BatchPeers) + len(c.OperatorPeers)
	}
	return size
}

// An incarnation numbers the start of the VM's entry process in its high bits, and the process's
// refutations in its low bits. So a claim without contact is never applied to the contact of an earlier start.
const refutationBits = 16

// StartIncarnation returns the incarnation of a process that starts at a time in milliseconds of the Unix epoch.
func StartIncarnation(unixMilli int64) uint64 { return uint64(unixMilli) << refutationBits }

func startOf(incarnation uint64) uint64 { return incarnation >> refutationBits }

// nextStart returns the first incarnation of a start later than that of incarnation.
func nextStart(incarnation uint64) uint64 { return (startOf(incarnation) + 1) << refutationBits }

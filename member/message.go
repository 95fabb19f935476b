package member

// Kind is the type of a message.
type Kind uint8

// Kinds of messages.
const (
	// KindProbe asks the receiver for an ack.
	KindProbe Kind = iota + 1
	// KindAck answers a probe, directly or through a relay.
	KindAck
	// KindIndirectProbe asks the receiver to probe Subject at Address and to relay the ack.
	KindIndirectProbe
	// KindNack tells the sender of an indirect probe that the relay is alive but received no ack in time.
	KindNack
	// KindGossip only carries updates.
	KindGossip
)

// Message is one datagram between members.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// Sequence matches acks and nacks to probes.
	Sequence uint64 `cbor:"2,keyasint,omitempty"`
	// Subject is the VM that a probe is meant for. Empty means any VM at the address.
	Subject string `cbor:"3,keyasint,omitempty"`
	// Address is the peer address of Subject in an indirect probe.
	Address string   `cbor:"4,keyasint,omitempty"`
	Updates []Update `cbor:"5,keyasint,omitempty"`
	// Revision is the latest settings revision known to the sender.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
}

// Update is a claim about one VM.
type Update struct {
	VM          string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	State       State  `cbor:"3,keyasint"`
	// Reporter is the VM that suspects the member or declared it dead. For a member that has left it is the VM itself.
	Reporter string `cbor:"4,keyasint,omitempty"`
	// Contact is absent when receivers that know this start of the VM's process already have it.
	Contact *Contact `cbor:"5,keyasint,omitempty"`
}

// Contact is the location and addresses of a VM. It is constant for the lifetime of the VM's entry process.
type Contact struct {
	AvailabilityZone string `cbor:"1,keyasint"`
	Region           string `cbor:"2,keyasint"`
	Callers          string `cbor:"3,keyasint"`
	EntryPeers       string `cbor:"4,keyasint"`
	BatchPeers       string `cbor:"5,keyasint"`
	OperatorPeers    string `cbor:"6,keyasint"`
	Millicores       int    `cbor:"7,keyasint,omitempty"`
}

func contactOf(m Member) *Contact {
	return &Contact{
		AvailabilityZone: m.AvailabilityZone,
		Region:           m.Region,
		Callers:          m.Callers,
		EntryPeers:       m.EntryPeers,
		BatchPeers:       m.BatchPeers,
		OperatorPeers:    m.OperatorPeers,
		Millicores:       m.Millicores,
	}
}

func (c *Contact) applyTo(m *Member) {
	m.AvailabilityZone = c.AvailabilityZone
	m.Region = c.Region
	m.Callers = c.Callers
	m.EntryPeers = c.EntryPeers
	m.BatchPeers = c.BatchPeers
	m.OperatorPeers = c.OperatorPeers
	m.Millicores = c.Millicores
}

// Upper bounds of the encoded size of an update and its contact without their strings, in bytes.
const (
	updateOverheadBytes  = 24
	contactOverheadBytes = 26
)

// size returns an upper bound of the update's encoded size in bytes.
func (u Update) size() int {
	size := updateOverheadBytes + len(u.VM) + len(u.Reporter)
	if c := u.Contact; c != nil {
		size += contactOverheadBytes + len(c.AvailabilityZone) + len(c.Region) +
			len(c.Callers) + len(c.EntryPeers) + len(c.BatchPeers) + len(c.OperatorPeers)
	}
	return size
}

// refutationBits is the number of low bits of an incarnation that count the refutations of a process.
// The high bits number the start of the VM's entry process, so that a claim without a contact is never
// applied to the contact of an earlier start.
const refutationBits = 16

// StartIncarnation returns the first incarnation of a process that starts at unixMilli, in milliseconds since the Unix epoch.
func StartIncarnation(unixMilli int64) uint64 { return uint64(unixMilli) << refutationBits }

func startOf(incarnation uint64) uint64 { return incarnation >> refutationBits }

// nextStart returns the first incarnation of a start later than that of incarnation.
func nextStart(incarnation uint64) uint64 { return (startOf(incarnation) + 1) << refutationBits }

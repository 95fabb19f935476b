package member

// Event is an input of Machine.Handle.
type Event interface{ event() }

// Tick says that the time of Machine.Wake has come. Earlier or later ticks are allowed.
type Tick struct{}

// Received says that a message arrived from a VM.
type Received struct {
	// From is the authenticated name of the sending VM.
	From string
	// Address is where answers to the message go.
	Address string
	Message Message
}

// Synced says that another member's whole state arrived.
type Synced struct {
	// From is the name of the VM whose state it is.
	From    string
	Members []Member
}

// SeedsFound replaces the peer addresses of entries that membership may start from.
type SeedsFound struct{ Addresses []string }

// RevisionKnown says that this VM knows a settings revision.
type RevisionKnown struct{ Revision uint64 }

// LeaveStarted says that this VM takes no new work from now on.
type LeaveStarted struct{}

// LeaveFinished says that this VM's entry process is about to end.
type LeaveFinished struct{}

func (Tick) event()          {}
func (Received) event()      {}
func (Synced) event()        {}
func (SeedsFound) event()    {}
func (RevisionKnown) event() {}
func (LeaveStarted) event()  {}
func (LeaveFinished) event() {}

// Action is an output of Machine.Handle.
type Action interface{ action() }

// Send asks to send a message, without retransmission.
type Send struct {
	// To is a peer address.
	To      string
	Message Message
}

// Sync asks to compare states with the member at a peer address, and to exchange them if they differ.
type Sync struct{ To string }

// Doubt says that an answer from a peer address is missing: a connection to it may be broken.
type Doubt struct{ Address string }

// Changed says that Machine.Members has changed.
type Changed struct{}

// RevisionLearned says that another VM knows a later settings revision than this one did.
type RevisionLearned struct {
	Revision uint64
	// From is the VM that knows it.
	From string
}

func (Send) action()            {}
func (Sync) action()            {}
func (Doubt) action()           {}
func (Changed) action()         {}
func (RevisionLearned) action() {}

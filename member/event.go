package member

// Event is an input of Machine.Handle.
type Event interface{ event() }

// Tick reports that the time returned by Machine.Wake has been reached. Earlier or later ticks are allowed.
type Tick struct{}

// Received reports a message from another VM.
type Received struct {
	// From is the authenticated name of the sending VM.
	From string
	// Address is the peer address to send responses to.
	Address string
	Message Message
}

// Synced reports that another member's full state was received.
type Synced struct {
	// From is the name of the VM whose state it is.
	From    string
	Members []Member
}

// SeedsFound replaces the peer addresses of the entries used as seeds.
type SeedsFound struct{ Addresses []string }

// RevisionKnown reports that this VM has a settings revision.
type RevisionKnown struct{ Revision uint64 }

// LeaveStarted reports that this VM accepts no new work from now on.
type LeaveStarted struct{}

// LeaveFinished reports that this VM's entry process is about to exit.
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

// Send requests that a message be sent, without retransmission.
type Send struct {
	// To is a peer address.
	To      string
	Message Message
}

// Sync requests a comparison of state digests with the member at a peer address, and an exchange of full states if
// they differ.
type Sync struct{ To string }

// VerifyConnection requests a check of the connection to a peer address that did not answer a probe.
type VerifyConnection struct{ Address string }

// Changed reports that the result of Machine.Members has changed.
type Changed struct{}

// RevisionLearned reports that another VM has a later settings revision than this one.
type RevisionLearned struct {
	Revision uint64
	// From is the VM that has it.
	From string
}

func (Send) action()             {}
func (Sync) action()             {}
func (VerifyConnection) action() {}
func (Changed) action()          {}
func (RevisionLearned) action()  {}

package controller

import (
	"time"

	"github.com/rosemarydyke/rosemarydyke/internal/peer"
	"github.com/rosemarydyke/rosemarydyke/target"
)

// MethodCredits requests credits from an owner. It takes a CreditsRequest and returns a CreditsResponse.
const MethodCredits peer.Method = "credits.request"

// MethodRecall asks a holder to return unused credits. It takes a CreditsRecall and returns an empty struct.
const MethodRecall peer.Method = "credits.recall"

// CreditsRecall names the targets whose unused credits are recalled.
type CreditsRecall struct {
	Targets []string `cbor:"1,keyasint"`
}

// CreditsRequest carries one entry's credit requests for the targets of one owner.
type CreditsRequest struct {
	// Session identifies the process that sends the request.
	Session uint64          `cbor:"1,keyasint"`
	Targets []TargetRequest `cbor:"2,keyasint"`
	// Hold lets the owner delay the response until it can grant a credit, for at most Config.HoldTimeout. Without
	// Hold, it does so only while it is reclaiming slots that the requester may get from batch work or another holder.
	Hold bool `cbor:"3,keyasint,omitempty"`
}

// TargetRequest is the encoding of target.CreditRequest.
type TargetRequest struct {
	Target   string `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	Held     int    `cbor:"3,keyasint,omitempty"`
	InUse    int    `cbor:"4,keyasint,omitempty"`
	Want     int    `cbor:"5,keyasint,omitempty"`
	Suspect  uint64 `cbor:"6,keyasint,omitempty"`
	// Refused is whether the target has refused a request of the holder since its last report.
	Refused bool `cbor:"7,keyasint,omitempty"`
	Spare   int  `cbor:"8,keyasint,omitempty"`
}

func newTargetRequest(name string, refused bool, request target.CreditRequest) TargetRequest {
	return TargetRequest{
		Target:   name,
		Sequence: request.Sequence,
		Held:     request.Held,
		InUse:    request.InUse,
		Want:     request.Want,
		Spare:    request.Spare,
		Suspect:  request.Suspect,
		Refused:  refused,
	}
}

func (r TargetRequest) creditRequest(holder string, session uint64) target.CreditRequest {
	return target.CreditRequest{
		Holder:   holder,
		Session:  session,
		Sequence: r.Sequence,
		Held:     r.Held,
		InUse:    r.InUse,
		Want:     r.Want,
		Spare:    r.Spare,
		Suspect:  r.Suspect,
	}
}

// CreditsResponse holds one response for each target of the CreditsRequest, in the same order.
type CreditsResponse struct {
	Targets []TargetResponse `cbor:"1,keyasint"`
}

// TargetResponse is the encoding of target.CreditResponse.
type TargetResponse struct {
	// NotOwner is whether the called VM does not own the target. The other fields are zero then.
	NotOwner   bool          `cbor:"1,keyasint,omitempty"`
	Granted    int           `cbor:"2,keyasint,omitempty"`
	TTL        time.Duration `cbor:"3,keyasint,omitempty"`
	Obtainable int           `cbor:"4,keyasint,omitempty"`
	Scarce     bool          `cbor:"5,keyasint,omitempty"`
	Suspect    uint64        `cbor:"6,keyasint,omitempty"`
	Stale      bool          `cbor:"7,keyasint,omitempty"`
	Share      int           `cbor:"8,keyasint,omitempty"`
	// Refuses is whether the target refuses requests, according to the owner's own requests and reports of others.
	Refuses bool `cbor:"9,keyasint,omitempty"`
	Idle    int  `cbor:"10,keyasint,omitempty"`
}

func newTargetResponse(refuses bool, response target.CreditResponse) TargetResponse {
	return TargetResponse{
		Granted:    response.Granted,
		TTL:        response.TTL,
		Obtainable: response.Obtainable,
		Scarce:     response.Scarce,
		Suspect:    response.Suspect,
		Stale:      response.Stale,
		Share:      response.Share,
		Idle:       response.Idle,
		Refuses:    refuses,
	}
}

func (r TargetResponse) creditResponse() target.CreditResponse {
	return target.CreditResponse{
		Granted:    r.Granted,
		TTL:        r.TTL,
		Obtainable: r.Obtainable,
		Scarce:     r.Scarce,
		Suspect:    r.Suspect,
		Stale:      r.Stale,
		Share:      r.Share,
		Idle:       r.Idle,
	}
}

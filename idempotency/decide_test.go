package idempotency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
)

var (
	content = idempotency.Fingerprint{1}
	other   = idempotency.Fingerprint{2}
	claim   = idempotency.NewRecord(content, idempotency.Owner{VM: "vm-1", RequestID: "vm-1.A"}, time.Unix(1, 0))
	outcome = idempotency.Outcome{Status: 200, Body: []byte("whole")}
)

func TestOnlyAReleasedRecordLeadsToADispatch(t *testing.T) {
	tests := []struct {
		name        string
		existing    idempotency.Record
		fingerprint idempotency.Fingerprint
		owner       idempotency.Liveness
		want        idempotency.Action
	}{
		{"another request has the key", claim, other, idempotency.Gone, idempotency.RefuseMismatch},
		{"another request had the key and was not run", claim.Release(), other, idempotency.Gone, idempotency.RefuseMismatch},
		{"the request is in progress", claim, content, idempotency.Running, idempotency.RefuseRunning},
		{"the owner cannot be asked", claim, content, idempotency.Unknown, idempotency.RefuseRunning},
		{"the owner is gone", claim, content, idempotency.Gone, idempotency.RefuseLost},
		{"the request was not run", claim.Release(), content, idempotency.Gone, idempotency.Claim},
		{"the answer is stored", claim.Finish(outcome, 100), content, idempotency.Gone, idempotency.Replay},
		{"the answer was too large", claim.Finish(outcome, 1), content, idempotency.Gone, idempotency.RefuseOmitted},
		{"the answer is lost", claim.MarkLost(), content, idempotency.Running, idempotency.RefuseLost},
		{"the record has no known state", idempotency.Record{Fingerprint: content}, content, idempotency.Gone, idempotency.RefuseLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, idempotency.Decide(test.existing, test.fingerprint, test.owner), qt.Equals, test.want)
		})
	}
}

func TestALargeOutcomeIsLeftOut(t *testing.T) {
	record := claim.Finish(outcome, 1)
	qt.Assert(t, record.Outcome, qt.DeepEquals, &idempotency.Outcome{Status: 200, Omitted: true})
}

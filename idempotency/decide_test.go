package idempotency_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/idempotency"
)

var (
	fingerprint      = idempotency.Fingerprint{1}
	otherFingerprint = idempotency.Fingerprint{2}
	started          = idempotency.NewRecord(fingerprint, idempotency.Owner{VM: "vm-1", RequestID: "vm-1.A"}, time.Unix(1, 0))
	outcome          = idempotency.Outcome{Status: 200, Body: []byte("whole")}
)

func TestOnlyAReleasedRecordMayBeClaimed(t *testing.T) {
	tests := []struct {
		name        string
		existing    idempotency.Record
		fingerprint idempotency.Fingerprint
		owner       idempotency.Liveness
		want        idempotency.Action
	}{
		{"key of another request in progress", started, otherFingerprint, idempotency.Gone, idempotency.RefuseMismatch},
		{"key of another request that was not run", started.Release(), otherFingerprint, idempotency.Gone, idempotency.RefuseMismatch},
		{"in progress", started, fingerprint, idempotency.Running, idempotency.RefuseRunning},
		{"owner unreachable", started, fingerprint, idempotency.Unknown, idempotency.RefuseRunning},
		{"owner gone", started, fingerprint, idempotency.Gone, idempotency.RefuseLost},
		{"not run", started.Release(), fingerprint, idempotency.Gone, idempotency.Claim},
		{"response stored", started.Finish(outcome, 100), fingerprint, idempotency.Gone, idempotency.Replay},
		{"response too large", started.Finish(outcome, 1), fingerprint, idempotency.Gone, idempotency.RefuseOmitted},
		{"response lost", started.MarkLost(), fingerprint, idempotency.Running, idempotency.RefuseLost},
		{"unknown state", idempotency.Record{Fingerprint: fingerprint}, fingerprint, idempotency.Gone, idempotency.RefuseLost},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, idempotency.Decide(test.existing, test.fingerprint, test.owner), qt.Equals, test.want)
		})
	}
}

func TestLargeOutcomeIsOmitted(t *testing.T) {
	record := started.Finish(outcome, 1)
	qt.Assert(t, record.Outcome, qt.DeepEquals, &idempotency.Outcome{Status: 200, Omitted: true})
}

package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/rosemarydyke/rosemarydyke/account"
)

const (
	digestA = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
	digestB = "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"
)

func clientDocument(digest string) string { return "key_sha256: [" + digest + "]\n" }

func key(digest string) account.Digest {
	key, _ := account.ParseDigest(digest)
	return key
}

// exampleSnapshot returns a snapshot with one team, one model and one target.
func exampleSnapshot(c *qt.C) *Snapshot {
	s, err := Empty().Apply(&Revision{Number: 1, Edits: []Edit{
		{Path: "fleet/models/small", Document: "max_tokens: 100\n"},
		{Path: "fleet/targets/t1", Document: "address: 127.0.0.1:1\navailability_zone: az-a\nmodel: small\nslots: 4\n"},
		{Path: "teams/desk/clients/calls", Document: clientDocument(digestA)},
	}})
	c.Assert(err, qt.IsNil)
	return s
}

func TestPlanRejects(t *testing.T) {
	stale := uint64(0)
	for _, test := range []struct {
		name   string
		change Change
		want   string
	}{
		{"a change outside the operator's subtree",
			Change{Allowed: "teams/desk", Subtree: "teams/other"}, `outside the operator's subtree`},
		{"a document outside the subtree that is replaced",
			Change{Subtree: "teams/desk", Documents: map[string]string{"fleet/models/x": "{}"}}, `outside the operator's subtree`},
		{"a subtree whose name has the operator's as a prefix",
			Change{Allowed: "teams/desk", Subtree: "teams/desk2"}, `outside the operator's subtree`},
		{"a change based on an old revision",
			Change{Subtree: "teams/desk", Base: &stale}, `at revision 1, not 0; changed since: teams/desk/clients/calls`},
		{"a target of an unknown model",
			Change{Subtree: "fleet/models"}, `model "small" does not exist`},
		{"an unknown key, naming it",
			Change{Subtree: "teams/desk/clients/calls", Documents: map[string]string{
				"teams/desk/clients/calls": clientDocument(digestA) + "wieght: 2\n"}}, `wieght`},
		{"a missing value, naming it",
			Change{Subtree: "teams/desk/clients/calls", Documents: map[string]string{
				"teams/desk/clients/calls": "weight: 2\n"}}, `key_sha256: a value is required`},
		{"a wrong type, naming the line",
			Change{Subtree: "teams/desk/clients/calls", Documents: map[string]string{
				"teams/desk/clients/calls": clientDocument(digestA) + "weight: heavy\n"}}, `[2:9]`},
		{"a key that belongs to another client",
			Change{Subtree: "teams/other", Documents: map[string]string{
				"teams/other/clients/x": clientDocument(digestA)}}, `is also a key of client "calls"`},
		{"a client name that another team has",
			Change{Subtree: "teams/other", Documents: map[string]string{
				"teams/other/clients/calls": clientDocument(digestB)}}, `another team has a client named "calls"`},
		{"a path of no known kind",
			Change{Subtree: "teams/x", Documents: map[string]string{"teams/x/things/y": "{}"}}, `unknown kind`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := exampleSnapshot(c).Plan(test.change, time.Time{})
			c.Assert(err, qt.IsNotNil)
			c.Assert(strings.Contains(err.Error(), test.want), qt.IsTrue, qt.Commentf("error: %v", err))
		})
	}
}

func TestPlanReportsAllProblemsAtOnce(t *testing.T) {
	c := qt.New(t)
	_, err := exampleSnapshot(c).Plan(Change{Subtree: "teams/desk", Documents: map[string]string{
		"teams/desk/clients/a":  "weight: 1\n",
		"teams/desk/services/b": "timeout: long\n",
	}}, time.Time{})
	var invalid *ValidationError
	c.Assert(errors.As(err, &invalid), qt.IsTrue)
	c.Assert(invalid.Problems, qt.HasLen, 2)
}

func TestPlanOfAnUnchangedSubtreeIsEmpty(t *testing.T) {
	c := qt.New(t)
	s := exampleSnapshot(c)
	revision, err := s.Plan(Change{Subtree: "fleet/models", Documents: map[string]string{"fleet/models/small": "max_tokens: 100\n"}}, time.Time{})
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.IsNil)
}

func TestApplyReplacesADocumentAndItsKeys(t *testing.T) {
	c := qt.New(t)
	s := exampleSnapshot(c)
	next, err := s.Apply(&Revision{Number: 2, Edits: []Edit{{Path: "teams/desk/clients/calls", Document: clientDocument(digestB)}}})
	c.Assert(err, qt.IsNil)
	_, oldKey := next.ClientByKey(key(digestA))
	c.Assert(oldKey, qt.IsFalse)
	client, newKey := next.ClientByKey(key(digestB))
	c.Assert(newKey, qt.IsTrue)
	c.Assert(client.Owner, qt.Equals, "teams/desk")
	c.Assert(next.RevisionOf("teams/desk"), qt.Equals, uint64(2))
	c.Assert(next.RevisionOf("fleet"), qt.Equals, uint64(1))
	// The previous snapshot is unchanged.
	_, kept := s.ClientByKey(key(digestA))
	c.Assert(kept, qt.IsTrue)
}

func TestBundleRoundTrip(t *testing.T) {
	c := qt.New(t)
	s := exampleSnapshot(c)
	for _, subtree := range []string{"", "fleet", "teams/desk/clients", "teams/desk/clients/calls"} {
		documents, err := ParseBundle(subtree, []byte(s.FormatBundle(subtree)))
		c.Assert(err, qt.IsNil)
		revision, err := s.Plan(Change{Subtree: subtree, Documents: documents}, time.Time{})
		c.Assert(err, qt.IsNil)
		c.Assert(revision, qt.IsNil, qt.Commentf("subtree %q: %s", subtree, s.FormatBundle(subtree)))
	}
}

func TestImageRoundTripKeepsRevisions(t *testing.T) {
	c := qt.New(t)
	s := exampleSnapshot(c)
	copied, err := FromImage(s.Image())
	c.Assert(err, qt.IsNil)
	c.Assert(copied.RevisionOf("teams"), qt.Equals, uint64(1))
	c.Assert(copied.Documents, qt.DeepEquals, s.Documents)
	_, ok := copied.ClientByKey(key(digestA))
	c.Assert(ok, qt.IsTrue)
}

package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Edit sets or deletes one document.
type Edit struct {
	Path     string `cbor:"1,keyasint" json:"path"`
	Document string `cbor:"2,keyasint" json:"document,omitempty"`
	Delete   bool   `cbor:"3,keyasint" json:"delete,omitempty"`
}

// Change is an operator's request to replace the content of one subtree.
type Change struct {
	// Operation is the unique ID of this request. After a lost response, it shows whether the change was committed.
	Operation string
	// Author is the operator's name.
	Author string
	// Allowed is the subtree that the author may change.
	Allowed string
	// Subtree is the part of the tree that is replaced.
	Subtree string
	// Base is the revision of the subtree that the change is based on. Nil accepts any revision.
	Base *uint64
	// Documents is the whole new content of the subtree, by full path.
	Documents map[string]string
}

// Revision is one committed change. It is immutable.
type Revision struct {
	Number    uint64    `cbor:"1,keyasint" json:"revision"`
	Operation string    `cbor:"2,keyasint" json:"operation"`
	Author    string    `cbor:"3,keyasint" json:"author"`
	Subtree   string    `cbor:"4,keyasint" json:"subtree"`
	At        time.Time `cbor:"5,keyasint" json:"at"`
	Edits     []Edit    `cbor:"6,keyasint" json:"edits"`
}

// Problem is one reason why a change is invalid.
type Problem struct {
	Path    string `json:"path"`
	Message string `json:"message"`
}

// ValidationError reports all problems of a change. Nothing was committed.
type ValidationError struct{ Problems []Problem }

// Error implements error.
func (e *ValidationError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Path + ": " + p.Message
	}
	return "invalid settings: " + strings.Join(lines, "; ")
}

// ForbiddenError reports a change outside the author's subtree. Nothing was committed.
type ForbiddenError struct{ Path, Allowed string }

// Error implements error.
func (e *ForbiddenError) Error() string {
	return fmt.Sprintf("%q is outside the operator's subtree %q", e.Path, e.Allowed)
}

// StaleError reports that the subtree has changed since the base revision of a change. Nothing was committed.
type StaleError struct {
	Subtree string
	// Base is the base revision of the change, and Current the current revision of the subtree.
	Base, Current uint64
	// Changed holds the paths of the documents that were set since Base.
	Changed []string
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%q is at revision %d, not %d; changed since: %s",
		e.Subtree, e.Current, e.Base, strings.Join(e.Changed, ", "))
}

// Plan checks change against s and returns the revision that it would make. The revision is nil if the change has no
// effect. It fails with *ForbiddenError, *StaleError or *ValidationError.
func (s *Snapshot) Plan(change Change, now time.Time) (*Revision, error) {
	if err := s.authorize(change); err != nil {
		return nil, err
	}
	if err := s.checkBase(change); err != nil {
		return nil, err
	}
	edits := s.edits(change)
	if len(edits) == 0 {
		return nil, nil
	}
	revision := &Revision{
		Number:    s.Revision + 1,
		Operation: change.Operation,
		Author:    change.Author,
		Subtree:   change.Subtree,
		At:        now,
		Edits:     edits,
	}
	if _, err := s.Apply(revision); err != nil {
		return nil, err
	}
	return revision, nil
}

func (s *Snapshot) authorize(change Change) error {
	if !Within(change.Subtree, change.Allowed) {
		return &ForbiddenError{Path: change.Subtree, Allowed: change.Allowed}
	}
	for path := range change.Documents {
		if !Within(path, change.Subtree) {
			return &ForbiddenError{Path: path, Allowed: change.Subtree}
		}
	}
	return nil
}

func (s *Snapshot) checkBase(change Change) error {
	if change.Base == nil {
		return nil
	}
	current := s.RevisionOf(change.Subtree)
	if current == *change.Base {
		return nil
	}
	stale := &StaleError{Subtree: change.Subtree, Base: *change.Base, Current: current}
	for path, revision := range s.changed {
		if revision > stale.Base && Within(path, change.Subtree) && s.hasDocument(path) {
			stale.Changed = append(stale.Changed, path)
		}
	}
	slices.Sort(stale.Changed)
	return stale
}

func (s *Snapshot) hasDocument(path string) bool {
	_, ok := s.Documents[path]
	return ok
}

// edits returns the differences between s and the change, sorted by path.
func (s *Snapshot) edits(change Change) []Edit {
	var edits []Edit
	for path, document := range change.Documents {
		if old, ok := s.Documents[path]; !ok || old != document {
			edits = append(edits, Edit{Path: path, Document: document})
		}
	}
	for path := range s.Documents {
		if _, kept := change.Documents[path]; !kept && Within(path, change.Subtree) {
			edits = append(edits, Edit{Path: path, Delete: true})
		}
	}
	slices.SortFunc(edits, func(a, b Edit) int { return cmp.Compare(a.Path, b.Path) })
	return edits
}

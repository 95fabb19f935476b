package settings

import (
	"fmt"
	"maps"
	"strings"

	"github.com/rosemarydyke/rosemarydyke/account"
)

// Empty returns revision zero: a tree without documents.
func Empty() *Snapshot {
	return &Snapshot{
		Documents:      map[string]string{},
		Clients:        map[string]*Client{},
		Models:         map[string]*Model{},
		Targets:        map[string]*Target{},
		Services:       map[string]*Service{},
		Operators:      map[string]*Operator{},
		changed:        map[string]uint64{},
		clientsByKey:   account.NewKeyIndex[Client](),
		operatorsByKey: map[string]*Operator{},
	}
}

// Apply returns the snapshot that results from applying revision to s. It fails with *ValidationError if the
// resulting tree is invalid, and with another error if revision is not the next one after s.
func (s *Snapshot) Apply(revision *Revision) (*Snapshot, error) {
	if revision.Number != s.Revision+1 {
		return nil, fmt.Errorf("settings: revision %d does not follow %d", revision.Number, s.Revision)
	}
	next := s.clone()
	next.Revision = revision.Number
	var problems []Problem
	// Deletions are applied first, so that a document can move to another path in one change.
	for _, edit := range revision.Edits {
		if edit.Delete {
			next.remove(edit.Path)
		}
	}
	for _, edit := range revision.Edits {
		if edit.Delete {
			continue
		}
		if err := next.set(edit.Path, edit.Document); err != nil {
			problems = append(problems, Problem{Path: edit.Path, Message: err.Error()})
		}
	}
	problems = append(problems, next.checkReferences()...)
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	return next, nil
}

// RevisionOf returns the newest revision that changed path or anything below it, zero if there is none.
func (s *Snapshot) RevisionOf(path string) uint64 { return s.changed[path] }

// ClientByKey returns the client of an API key.
func (s *Snapshot) ClientByKey(key account.Digest) (*Client, bool) { return s.clientsByKey.Find(key) }

// OperatorByKey returns the operator whose key has the hexadecimal SHA-256 digest.
func (s *Snapshot) OperatorByKey(digest string) (*Operator, bool) {
	operator, ok := s.operatorsByKey[digest]
	return operator, ok
}

func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		Revision:       s.Revision,
		Documents:      maps.Clone(s.Documents),
		Clients:        maps.Clone(s.Clients),
		Models:         maps.Clone(s.Models),
		Targets:        maps.Clone(s.Targets),
		Services:       maps.Clone(s.Services),
		Operators:      maps.Clone(s.Operators),
		changed:        maps.Clone(s.changed),
		clientsByKey:   s.clientsByKey.Clone(),
		operatorsByKey: maps.Clone(s.operatorsByKey),
	}
}

// markChanged records that the current revision changed path and thereby all its ancestors.
func (s *Snapshot) markChanged(path string) {
	s.changed[path] = s.Revision
	for {
		slash := strings.LastIndexByte(path, '/')
		if slash < 0 {
			break
		}
		path = path[:slash]
		s.changed[path] = s.Revision
	}
	s.changed[""] = s.Revision
}

func (s *Snapshot) remove(path string) {
	if !s.hasDocument(path) {
		return
	}
	s.removeParsed(path)
	delete(s.Documents, path)
	s.markChanged(path)
	delete(s.changed, path)
}

// removeParsed removes the parsed form of the document at path.
func (s *Snapshot) removeParsed(path string) {
	loc, err := parsePath(path)
	if err != nil {
		return
	}
	switch loc.kind {
	case KindClient:
		for _, digest := range s.Clients[loc.name].KeySHA256 {
			if key, ok := account.ParseDigest(digest); ok {
				s.clientsByKey.Remove(key)
			}
		}
		delete(s.Clients, loc.name)
	case KindOperator:
		delete(s.operatorsByKey, strings.ToLower(s.Operators[loc.name].KeySHA256))
		delete(s.Operators, loc.name)
	case KindModel:
		delete(s.Models, loc.name)
	case KindTarget:
		delete(s.Targets, loc.name)
	case KindService:
		delete(s.Services, loc.name)
	}
}

// set parses and stores one document. The snapshot must be discarded after an error.
func (s *Snapshot) set(path, document string) error {
	loc, err := parsePath(path)
	if err != nil {
		return err
	}
	if s.hasDocument(path) {
		s.removeParsed(path)
		delete(s.Documents, path)
	}
	if err := s.addParsed(loc, document); err != nil {
		return err
	}
	s.Documents[path] = document
	s.markChanged(path)
	return nil
}

package settings

import (
	"fmt"
	"regexp"
	"strings"
)

// fleetPath is the subtree of documents that belong to no team.
const fleetPath = "fleet"

// maxPathBytes bounds the length of a document's path.
const maxPathBytes = 256

// Kind is the type of a document. It is the last but one segment of the document's path.
type Kind string

// Kinds of documents.
const (
	KindClient   Kind = "clients"
	KindService  Kind = "services"
	KindModel    Kind = "models"
	KindTarget   Kind = "targets"
	KindOperator Kind = "operators"
)

var segmentPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]*$`)

// location is a document's path, taken apart.
type location struct {
	owner string
	kind  Kind
	name  string
}

// locate takes the path of a document apart. It fails when the path cannot hold a document.
func locate(path string) (location, error) {
	if err := CheckPath(path); err != nil {
		return location{}, err
	}
	segments := strings.Split(path, "/")
	if len(segments) < 3 {
		return location{}, fmt.Errorf("path %q holds no document: expected OWNER/KIND/NAME", path)
	}
	last := len(segments) - 1
	loc := location{
		owner: strings.Join(segments[:last-1], "/"),
		kind:  Kind(segments[last-1]),
		name:  segments[last],
	}
	switch loc.kind {
	case KindClient, KindService:
		return loc, nil
	case KindModel, KindTarget, KindOperator:
		if loc.owner != fleetPath {
			return location{}, fmt.Errorf("path %q: %s belong under %s/%s", path, loc.kind, fleetPath, loc.kind)
		}
		return loc, nil
	default:
		return location{}, fmt.Errorf("path %q: unknown kind of document %q", path, segments[last-1])
	}
}

// IsDocumentPath reports whether path can hold a document.
func IsDocumentPath(path string) bool {
	_, err := locate(path)
	return err == nil
}

// CheckPath reports what is wrong with a path. The empty path is the whole tree.
func CheckPath(path string) error {
	if path == "" {
		return nil
	}
	if len(path) > maxPathBytes {
		return fmt.Errorf("path is longer than %d bytes", maxPathBytes)
	}
	for segment := range strings.SplitSeq(path, "/") {
		if !segmentPattern.MatchString(segment) {
			return fmt.Errorf("path %q: segment %q may hold lower-case letters, digits, '.', '_' and '-' and starts with a letter or digit", path, segment)
		}
	}
	return nil
}

// Within reports whether path is subtree or lies below it.
func Within(path, subtree string) bool {
	return subtree == "" || path == subtree || strings.HasPrefix(path, subtree+"/")
}

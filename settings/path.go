package settings

import (
	"fmt"
	"regexp"
	"strings"
)

// fleetPath is the subtree of documents that belong to the fleet, not to a team.
const fleetPath = "fleet"

// maxPathBytes limits the length of a document's path.
const maxPathBytes = 256

// Kind is the type of a document, given by the second last segment of the document's path.
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

// location is the parsed path of a document.
type location struct {
	owner string
	kind  Kind
	name  string
}

// parsePath parses the path of a document. It fails if a document cannot have that path.
func parsePath(path string) (location, error) {
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

// IsDocumentPath reports whether path is the path of a document, not of a subtree. The document need not exist.
func IsDocumentPath(path string) bool {
	_, err := parsePath(path)
	return err == nil
}

// CheckPath returns an error if the syntax of path is invalid. The empty path, which is the whole tree, is valid.
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

// Within reports whether path is subtree itself or below it.
func Within(path, subtree string) bool {
	return subtree == "" || path == subtree || strings.HasPrefix(path, subtree+"/")
}

package settings

// Image is the serializable form of a snapshot, from which a VM can start without replaying all revisions.
type Image struct {
	Revision  uint64            `cbor:"1,keyasint"`
	Documents map[string]string `cbor:"2,keyasint"`
	Changed   map[string]uint64 `cbor:"3,keyasint"`
}

// Image returns the serializable form of s. It shares maps with s and must not be modified.
func (s *Snapshot) Image() Image {
	return Image{Revision: s.Revision, Documents: s.Documents, Changed: s.changed}
}

// FromImage restores a snapshot. It fails with *ValidationError if a document cannot be parsed.
func FromImage(image Image) (*Snapshot, error) {
	s := Empty()
	s.Revision = image.Revision
	var problems []Problem
	for path, document := range image.Documents {
		if err := s.set(path, document); err != nil {
			problems = append(problems, Problem{Path: path, Message: err.Error()})
		}
	}
	if len(problems) > 0 {
		return nil, &ValidationError{Problems: problems}
	}
	s.changed = image.Changed
	if s.changed == nil {
		s.changed = map[string]uint64{}
	}
	return s, nil
}

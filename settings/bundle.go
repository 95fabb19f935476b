package settings

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// ParseBundle parses a YAML mapping of paths, relative to subtree, to documents. It returns the documents by full path.
// If subtree is itself the path of a document, content is that document.
// It fails with *ValidationError.
func ParseBundle(subtree string, content []byte) (map[string]string, error) {
	if IsDocumentPath(subtree) {
		return map[string]string{subtree: string(content)}, nil
	}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return nil, bundleError(subtree, yaml.FormatError(err, false, false))
	}
	if len(file.Docs) > 1 {
		return nil, bundleError(subtree, "the text must hold one YAML document")
	}
	documents := map[string]string{}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return documents, nil
	}
	values, err := mappingValues(file.Docs[0].Body)
	if err != nil {
		return nil, bundleError(subtree, err.Error())
	}
	for _, value := range values {
		path := join(subtree, strings.Trim(value.Key.String(), `"'`))
		if _, err := parsePath(path); err != nil {
			return nil, bundleError(path, fmt.Sprintf("line %d: %v", value.Key.GetToken().Position.Line, err))
		}
		documents[path] = dedent(value.Value.String())
	}
	return documents, nil
}

// FormatBundle returns the documents at and below subtree in the format of ParseBundle.
func (s *Snapshot) FormatBundle(subtree string) string {
	if document, ok := s.Documents[subtree]; ok {
		return document
	}
	var paths []string
	for path := range s.Documents {
		if Within(path, subtree) {
			paths = append(paths, path)
		}
	}
	slices.Sort(paths)
	var text strings.Builder
	for _, path := range paths {
		text.WriteString(strings.TrimPrefix(strings.TrimPrefix(path, subtree), "/"))
		text.WriteString(":\n")
		for line := range strings.SplitSeq(strings.TrimRight(s.Documents[path], "\n"), "\n") {
			text.WriteString("  " + line + "\n")
		}
	}
	return text.String()
}

func bundleError(path, message string) error {
	return &ValidationError{Problems: []Problem{{Path: path, Message: strings.TrimSpace(message)}}}
}

func mappingValues(node ast.Node) ([]*ast.MappingValueNode, error) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, nil
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, nil
	default:
		return nil, errors.New("expected a mapping of paths to documents")
	}
}

// join appends a relative path to subtree.
func join(subtree, relative string) string {
	if subtree == "" {
		return relative
	}
	return subtree + "/" + relative
}

// dedent removes the indentation of the first line from all lines.
func dedent(text string) string {
	indent := text[:len(text)-len(strings.TrimLeft(text, " "))]
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		lines[i] = strings.TrimPrefix(line, indent)
	}
	return strings.Join(lines, "\n") + "\n"
}

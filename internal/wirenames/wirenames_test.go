// Package wirenames checks that no name that leaves a process has disappeared from the code: keys of messages, stored
// records, settings and configuration files, HTTP headers and paths, codes and enumeration values, command-line flags,
// environment variables, metrics with their labels, and fields of log lines.
package wirenames

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode"

	qt "github.com/frankban/quicktest"
)

const (
	moduleRoot = "../.."
	listFile   = "testdata/names.txt"
)

var update = flag.Bool("update", false, "write "+listFile+" from the code")

// logFieldMethods are the methods of zerolog whose first argument is the name of a field.
var logFieldMethods = map[string]bool{
	"AnErr": true, "Any": true, "Bool": true, "Dur": true, "Float64": true, "Int": true, "Int32": true, "Int64": true,
	"Interface": true, "Object": true, "RawJSON": true, "Str": true, "Stringer": true, "Strs": true, "Time": true,
	"Uint": true, "Uint32": true, "Uint64": true, "Uint8": true,
}

// sentenceCalls are functions that write one of their arguments into the body of an answer.
var sentenceCalls = map[string]bool{
	"Error": true, "WriteRefusal": true, "WriteText": true, "bundleError": true, "fail": true, "invalid": true, "notRun": true,
}

// sentenceFiles are files whose error texts become the body of an answer.
var sentenceFiles = []string{"settings/", "job/input", "internal/batchjobs/submit", "internal/settingstore/"}

// serialized are the structs without tags that are encoded as CBOR under the names of their Go fields.
var serialized = map[string][]string{
	"internal/admission": {"Outcome"},
	"internal/platform":  {"KeyRange", "RowCondition", "RowKey", "RowTxn", "RowWrite", "TableRow"},
}

// tagKeys are the keys of struct tags that name a field outside the process.
var tagKeys = []string{"json", "yaml", "cbor", "toml", "name", "env", "short", "enum", "validate", "default", "arg", "cmd"}

func TestEachNameOnTheListIsInTheCode(t *testing.T) {
	names := namesInCode(t)
	if *update {
		writeList(t, names)
	}
	content, err := os.ReadFile(listFile)
	qt.Assert(t, err, qt.IsNil)
	for _, line := range strings.Split(strings.TrimSpace(string(content)), "\n") {
		if !names[line] {
			t.Errorf("%q is not in the code any more; processes of an older version, stored data or operators' tools may depend on it", line)
		}
	}
}

func TestNamesOfEachKindAreFound(t *testing.T) {
	names := namesInCode(t)
	for _, name := range []string{
		`tag json:"max_tokens"`, `field cmd/rosemary-load Rate`, `field internal/admission Tokens`, `metric rosemarydyke_peer_call_seconds{method=%q}`,
		`text Rosemarydyke-Verdict`, `text may-have-run`, `log asked_vm`, `sentence the body names no model`,
	} {
		if !names[name] {
			t.Errorf("%q was not found in the code", name)
		}
	}
}

func writeList(t *testing.T, names map[string]bool) {
	var lines []string
	for name := range names {
		lines = append(lines, name)
	}
	slices.Sort(lines)
	qt.Assert(t, os.WriteFile(listFile, []byte(strings.Join(lines, "\n")+"\n"), 0o644), qt.IsNil)
}

// namesInCode returns a line for each name in the module's code without its tests.
func namesInCode(t *testing.T) map[string]bool {
	names := map[string]bool{}
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != moduleRoot && (strings.HasPrefix(entry.Name(), ".") || entry.Name() == "testdata") {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		relative, err := filepath.Rel(moduleRoot, path)
		if err != nil {
			return err
		}
		c := &collector{path: filepath.ToSlash(relative), names: names}
		ast.Inspect(file, c.visit)
		return nil
	})
	qt.Assert(t, err, qt.IsNil)
	return names
}

// collector adds the names of one file.
type collector struct {
	path  string
	names map[string]bool
}

func (c *collector) visit(node ast.Node) bool {
	switch n := node.(type) {
	case *ast.ImportSpec:
		return false
	case *ast.StructType:
		c.addFields(n)
	case *ast.TypeSpec:
		c.addSerialized(n)
	case *ast.Field:
		if n.Type != nil {
			ast.Inspect(n.Type, c.visit)
		}
		return false
	case *ast.KeyValueExpr:
		if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Message" {
			c.addSentences(n.Value)
		}
	case *ast.CallExpr:
		return c.visitCall(n)
	case *ast.BasicLit:
		c.addLiteral(n)
	}
	return true
}

func (c *collector) visitCall(call *ast.CallExpr) bool {
	name := calledName(call)
	if sentenceCalls[name] {
		for _, argument := range call.Args {
			c.addSentences(argument)
		}
	}
	if !logFieldMethods[name] || len(call.Args) < 2 {
		return true
	}
	field, ok := call.Args[0].(*ast.BasicLit)
	if !ok {
		return true
	}
	c.names["log "+unquote(field)] = true
	ast.Inspect(call.Fun, c.visit)
	for _, argument := range call.Args[1:] {
		ast.Inspect(argument, c.visit)
	}
	return false
}

func calledName(call *ast.CallExpr) string {
	switch fun := call.Fun.(type) {
	case *ast.Ident:
		return fun.Name
	case *ast.SelectorExpr:
		return fun.Sel.Name
	}
	return ""
}

// addFields adds the tags of a struct and, for command lines, the fields whose flag has the name of the field.
func (c *collector) addFields(s *ast.StructType) {
	for _, field := range s.Fields.List {
		tag := reflect.StructTag("")
		if field.Tag != nil {
			tag = reflect.StructTag(unquote(field.Tag))
		}
		for _, key := range tagKeys {
			if value, ok := tag.Lookup(key); ok && value != "" {
				c.names["tag "+key+":"+strconv.Quote(value)] = true
			}
		}
		if embedded, ok := field.Type.(*ast.Ident); ok && strings.HasSuffix(tag.Get("yaml"), ",inline") {
			// Error messages about settings have the type's name in the path of a key, from which it is cut.
			c.names["field "+filepath.ToSlash(filepath.Dir(c.path))+" "+embedded.Name] = true
		}
		if _, named := tag.Lookup("name"); named || !strings.HasPrefix(c.path, "cmd/") || field.Tag == nil {
			continue
		}
		for _, name := range field.Names {
			c.names["field "+filepath.ToSlash(filepath.Dir(c.path))+" "+name.Name] = true
		}
	}
}

// addSerialized adds the fields of a struct that is encoded under the names of its Go fields.
func (c *collector) addSerialized(spec *ast.TypeSpec) {
	dir := filepath.ToSlash(filepath.Dir(c.path))
	structure, ok := spec.Type.(*ast.StructType)
	if !ok || !slices.Contains(serialized[dir], spec.Name.Name) {
		return
	}
	for _, field := range structure.Fields.List {
		if field.Tag != nil {
			continue
		}
		for _, name := range field.Names {
			if name.IsExported() {
				c.names["field "+dir+" "+name.Name] = true
			}
		}
		if embedded, ok := field.Type.(*ast.Ident); ok && len(field.Names) == 0 {
			c.names["field "+dir+" "+embedded.Name] = true
		}
	}
}

// addSentences adds the literals in an expression that have blanks in them.
func (c *collector) addSentences(expression ast.Expr) {
	ast.Inspect(expression, func(node ast.Node) bool {
		if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING && strings.ContainsFunc(unquote(literal), unicode.IsLetter) && strings.Contains(unquote(literal), " ") {
			c.names["sentence "+unquote(literal)] = true
		}
		return true
	})
}

// addLiteral adds a string literal: a metric, a text without blanks, or the sentence of an answer.
func (c *collector) addLiteral(literal *ast.BasicLit) {
	if literal.Kind != token.STRING {
		return
	}
	text := unquote(literal)
	switch {
	case !strings.ContainsFunc(text, unicode.IsLetter) || strings.ContainsFunc(text, unicode.IsControl):
	case strings.HasPrefix(text, "rosemarydyke_"):
		c.names["metric "+text] = true
	case !strings.Contains(text, " "):
		c.names["text "+text] = true
	case slices.ContainsFunc(sentenceFiles, func(prefix string) bool { return strings.HasPrefix(c.path, prefix) }):
		c.names["sentence "+text] = true
	}
}

func unquote(literal *ast.BasicLit) string {
	text, err := strconv.Unquote(literal.Value)
	if err != nil {
		return literal.Value
	}
	return text
}

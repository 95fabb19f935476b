// Package strictyaml decodes YAML documents strictly. Its errors give the line and the key of an unknown key, a wrong
// type, a missing value, or a value out of range.
package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
)

var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
})

// yamlName returns the YAML key of a struct field, or "" for an inlined or ignored field.
func yamlName(field reflect.StructField) string {
	name, options, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	if options == "inline" || name == "-" {
		return ""
	}
	return name
}

// Decode decodes content into out, a pointer to a struct, and validates it by its validate tags.
func Decode(content []byte, out any) error {
	if err := yaml.NewDecoder(bytes.NewReader(content), yaml.Strict()).Decode(out); err != nil {
		return errors.New(strings.TrimSpace(yaml.FormatError(err, false, true)))
	}
	err := structValidator().Struct(out)
	var invalid validator.ValidationErrors
	if !errors.As(err, &invalid) {
		return err
	}
	problems := make([]error, len(invalid))
	for i, field := range invalid {
		problems[i] = describe(content, field)
	}
	return errors.Join(problems...)
}

// describe returns an error with the line, the key and the problem of a value.
func describe(content []byte, field validator.FieldError) error {
	key := keyOf(field)
	if line := lineOf(content, key); line > 0 {
		return fmt.Errorf("line %d: %s: %s", line, key, problemOf(field))
	}
	return fmt.Errorf("%s: %s", key, problemOf(field))
}

// keyOf returns the path of a field's key, without the names of the Go type and of inlined structs.
func keyOf(field validator.FieldError) string {
	_, path, _ := strings.Cut(field.Namespace(), ".")
	return strings.TrimPrefix(path, "Common.")
}

// lineOf returns the line of a key, or zero if the key is absent.
func lineOf(content []byte, key string) int {
	path, err := yaml.PathString("$." + key)
	if err != nil {
		return 0
	}
	node, err := path.ReadNode(bytes.NewReader(content))
	if err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

func problemOf(field validator.FieldError) string {
	switch field.Tag() {
	case "required":
		return "a value is required"
	case "min":
		return "must be at least " + field.Param()
	case "oneof":
		return "must be one of " + field.Param()
	case "hostname_port":
		return "must be an address of the form IP:port"
	case "len":
		return "must have the length " + field.Param()
	case "hexadecimal":
		return "must be hexadecimal"
	case "url":
		return "must be a URL"
	default:
		return "does not hold: " + field.Tag()
	}
}

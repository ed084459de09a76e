package config

import (
	"bytes"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
)

// ParseError is returned for TOML or JSON text that can't be decoded. It lists
// every error found.
type ParseError struct {
	Faults []ParseFault
}

// ParseFault is one error in a text.
type ParseFault struct {
	Line, Column int
	// Key is the dotted key concerned, if known.
	Key    string
	Reason string
}

// Error returns one line per fault.
func (e *ParseError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// String returns the fault as one line.
func (f ParseFault) String() string {
	if f.Key == "" {
		return fmt.Sprintf("line %d, column %d: %s", f.Line, f.Column, f.Reason)
	}
	return fmt.Sprintf("line %d, column %d: key %s: %s", f.Line, f.Column, f.Key, f.Reason)
}

// ParseTOML decodes a document. Unknown keys are an error; errors are of type
// *ParseError. It does not check values; see Validate.
func ParseTOML(text []byte) (*Document, error) {
	doc := new(Document)
	if err := decodeTOML(text, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// MarshalTOML encodes a document in the format that ParseTOML reads.
func MarshalTOML(doc *Document) ([]byte, error) {
	return encodeTOML(doc)
}

func encodeTOML(v any) ([]byte, error) {
	var buf bytes.Buffer
	encoder := toml.NewEncoder(&buf)
	encoder.SetArraysMultiline(false)
	if err := encoder.Encode(v); err != nil {
		return nil, errors.Wrap(err, "encode as TOML")
	}
	return buf.Bytes(), nil
}

// decodeTOML decodes text into v, rejecting unknown keys. Errors are of type
// *ParseError.
func decodeTOML(text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return newUnknownKeysError(strict)
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		return &ParseError{Faults: []ParseFault{newParseFault(decode, decode.Error())}}
	}
	return &ParseError{Faults: []ParseFault{{Reason: err.Error()}}}
}

func newUnknownKeysError(strict *toml.StrictMissingError) *ParseError {
	e := new(ParseError)
	for i := range strict.Errors {
		e.Faults = append(e.Faults, newParseFault(&strict.Errors[i], "unknown key"))
	}
	return e
}

func newParseFault(err *toml.DecodeError, reason string) ParseFault {
	line, column := err.Position()
	return ParseFault{
		Line:   line,
		Column: column,
		Key:    strings.Join(err.Key(), "."),
		Reason: strings.TrimPrefix(reason, "toml: "),
	}
}

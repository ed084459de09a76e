package config

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

// ParseJSON decodes a document. Unknown keys are an error; errors are of type
// *ParseError. It does not check values; see Validate.
func ParseJSON(text []byte) (*Document, error) {
	doc := new(Document)
	if err := decodeJSON(text, doc); err != nil {
		return nil, err
	}
	return doc, nil
}

// MarshalJSON encodes a document in the format that ParseJSON reads.
func MarshalJSON(doc *Document) ([]byte, error) {
	text, err := json.MarshalIndent(doc, "", "  ")
	return text, errors.Wrap(err, "encode document as JSON")
}

// decodeJSON decodes text into v, rejecting unknown keys and trailing text.
// Errors are of type *ParseError.
func decodeJSON(text []byte, v any) error {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return jsonFault(text, decoder.InputOffset(), err.Error())
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return jsonFault(text, decoder.InputOffset(), "text after the end of the value")
	}
	return nil
}

func jsonFault(text []byte, offset int64, reason string) *ParseError {
	read := text[:min(int(offset), len(text))]
	line := bytes.Count(read, []byte("\n")) + 1
	column := len(read) - bytes.LastIndexByte(read, '\n')
	return &ParseError{Faults: []ParseFault{{Line: line, Column: column, Reason: reason}}}
}

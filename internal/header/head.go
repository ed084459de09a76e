package header

import (
	"net/http"
	"strings"
)

// MaxFields bounds the number of fields in the head of a response. A parsed field takes many
// times the bytes of a short one.
const MaxFields = 256

// HeadScanner checks the names and the number of the fields in the head of a response as its
// bytes arrive. net/http accepts names that contain blanks, joins a line that begins with one
// to the previous field, and does not bound the number. The zero value awaits a head.
type HeadScanner struct {
	part headPart
	// fields counts those of the head.
	fields int
	// code holds the status code, codeSize the number of its bytes.
	code     [3]byte
	codeSize int
}

// headPart is the part of a head to which the next byte belongs.
type headPart uint8

const (
	version headPart = iota
	statusCode
	reason
	lineStart
	// lastLine is a line of which only a carriage return has been read.
	lastLine
	fieldName
	fieldValue
	headEnded
	headInvalid
)

// Reset makes the scanner await the next head.
func (s *HeadScanner) Reset() { *s = HeadScanner{} }

// Invalid reports whether a field had an invalid name, or none.
func (s *HeadScanner) Invalid() bool { return s.part == headInvalid }

// Oversized reports whether the head has more than MaxFields fields.
func (s *HeadScanner) Oversized() bool { return s.fields > MaxFields }

// Scan continues with the next bytes of the connection. What follows the head of the final
// response is ignored until Reset.
func (s *HeadScanner) Scan(p []byte) {
	for _, b := range p {
		if s.part >= headEnded {
			return
		}
		s.next(b)
	}
}

func (s *HeadScanner) next(b byte) {
	switch s.part {
	case version, statusCode:
		s.scanStatus(b)
	case reason, fieldValue:
		if b == '\n' {
			s.part = lineStart
		}
	case fieldName:
		if b == ':' {
			s.part = fieldValue
		} else if !isNameByte(b) {
			s.part = headInvalid
		}
	default:
		s.scanLineStart(b)
	}
}

// scanStatus handles the bytes of a status line up to the reason.
func (s *HeadScanner) scanStatus(b byte) {
	switch {
	case b == '\n':
		s.part = lineStart
	case b == ' ' && s.codeSize == 0:
		s.part = statusCode
	case s.part == version:
	case b == ' ' || b == '\r':
		s.part = reason
	default:
		if s.codeSize < len(s.code) {
			s.code[s.codeSize] = b
		}
		s.codeSize++
	}
}

// scanLineStart handles the bytes with which a line may end the head.
func (s *HeadScanner) scanLineStart(b byte) {
	switch {
	case b == '\n':
		s.endHead()
	case s.part == lastLine:
		s.part = headInvalid
	case b == '\r':
		s.part = lastLine
	case isNameByte(b):
		s.part = fieldName
		s.fields++
	default:
		s.part = headInvalid
	}
}

// endHead ends a head. After that of an informational response, another one follows.
func (s *HeadScanner) endHead() {
	if s.codeSize == len(s.code) && s.code[0] == '1' && string(s.code[:]) != "101" {
		s.Reset()
		return
	}
	s.part = headEnded
}

// isNameByte reports whether a byte may be part of a field's name (RFC 9110, section 5.6.2).
func isNameByte(b byte) bool {
	switch {
	case 'a' <= b && b <= 'z', 'A' <= b && b <= 'Z', '0' <= b && b <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// ValidNames reports whether the names of all fields are valid.
func ValidNames(h http.Header) bool {
	for name := range h {
		for i := range len(name) {
			if !isNameByte(name[i]) {
				return false
			}
		}
	}
	return true
}

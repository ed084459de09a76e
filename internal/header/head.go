package header

import (
	"net/http"
	"strings"
)

// HeadScanner checks the names of the fields in the head of a response as its bytes arrive.
// net/http accepts names that contain blanks, and joins a line that begins with one to the
// previous field. The zero value awaits a head.
type HeadScanner struct {
	part headPart
	// status holds the beginning of the status line.
	status     [statusBytes]byte
	statusSize int
}

// statusBytes is the number of bytes of a status line that contain its status code.
const statusBytes = 16

// headPart is the part of a head to which the next byte belongs.
type headPart uint8

const (
	statusLine headPart = iota
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
	case statusLine:
		s.scanStatus(b)
	case fieldValue:
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

func (s *HeadScanner) scanStatus(b byte) {
	if b == '\n' {
		s.part = lineStart
	} else if s.statusSize < statusBytes {
		s.status[s.statusSize] = b
		s.statusSize++
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
	default:
		s.part = headInvalid
	}
}

// endHead ends a head. After that of an informational response, another one follows.
func (s *HeadScanner) endHead() {
	words := strings.Fields(string(s.status[:s.statusSize]))
	informational := len(words) > 1 && len(words[1]) == 3 && words[1][0] == '1' && words[1] != "101"
	s.Reset()
	if !informational {
		s.part = headEnded
	}
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

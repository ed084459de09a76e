package pipeline

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// headScanner finds the empty line that ends a request head in a stream that arrives in
// pieces. Like net/http, it takes a line feed without a carriage return for a line end.
// The zero value is at the start of a head.
type headScanner struct {
	state scanState
}

type scanState uint8

const (
	inLine scanState = iota
	afterLF
	afterLFCR
)

// end returns the index behind the empty line in p, or -1 if the head goes on.
func (s *headScanner) end(p []byte) int {
	for i := 0; i < len(p); {
		switch {
		case s.state != inLine && p[i] == '\n':
			return i + 1
		case s.state == afterLF && p[i] == '\r':
			s.state = afterLFCR
			i++
			continue
		}
		s.state = inLine
		n := bytes.IndexByte(p[i:], '\n')
		if n < 0 {
			return -1
		}
		s.state = afterLF
		i += n + 1
	}
	return -1
}

// notStarted lists the header fields of requests that are not started early, because they
// announce a body, change the connection, or make the response depend on the connection.
var notStarted = map[string]bool{
	"Content-Length": true, "Expect": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// parseHead parses the head of a request that may be started early, including the empty
// line. It accepts less than net/http: GET or HEAD of HTTP/1.1 in origin form, without a
// body, with one Host field and with fields in the form "name: value".
func parseHead(head []byte) (*http.Request, bool) {
	lines, ok := strings.CutSuffix(string(head), "\r\n\r\n")
	if !ok {
		return nil, false
	}
	requestLine, fields, _ := strings.Cut(lines, "\r\n")
	if !validRequestLine(requestLine) || !validFields(fields) {
		return nil, false
	}
	r, err := http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)))
	if err != nil || r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Close {
		return nil, false
	}
	return r, true
}

func validRequestLine(line string) bool {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != "HTTP/1.1" || !strings.HasPrefix(parts[1], "/") {
		return false
	}
	for _, c := range []byte(parts[1]) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return parts[0] == http.MethodGet || parts[0] == http.MethodHead
}

// validFields reports whether all header fields are in the accepted form, and whether
// exactly one of them is Host.
func validFields(fields string) bool {
	hosts := 0
	for line := range strings.SplitSeq(fields, "\r\n") {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !validName(name) || !validValue(value) {
			return false
		}
		key := http.CanonicalHeaderKey(name)
		if notStarted[key] {
			return false
		}
		value = strings.TrimPrefix(value, " ")
		switch key {
		case "Connection":
			// This is what HTTP/1.1 does anyway.
			if !strings.EqualFold(value, "keep-alive") {
				return false
			}
		case "Host":
			hosts++
			if !validHost(value) {
				return false
			}
		}
	}
	return hosts == 1
}

func validName(name string) bool {
	for _, c := range []byte(name) {
		if !isAlphanumeric(c) && c != '-' && c != '_' {
			return false
		}
	}
	return name != ""
}

// validValue accepts visible ASCII, with at most one space before it and single spaces
// within.
func validValue(value string) bool {
	value = strings.TrimPrefix(value, " ")
	for _, c := range []byte(value) {
		if c < ' ' || c >= 0x7f {
			return false
		}
	}
	return !strings.HasPrefix(value, " ") && !strings.HasSuffix(value, " ")
}

func validHost(host string) bool {
	for _, c := range []byte(host) {
		if !isAlphanumeric(c) && !strings.ContainsRune(".:-_[]", rune(c)) {
			return false
		}
	}
	return host != ""
}

func isAlphanumeric(c byte) bool {
	return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
}

// sameRequest reports whether net/http parsed the same request as parseHead did.
func sameRequest(a, b *http.Request) bool {
	if a.Method != b.Method || a.RequestURI != b.RequestURI || a.Proto != b.Proto || a.Host != b.Host || len(a.Header) != len(b.Header) {
		return false
	}
	for name, values := range a.Header {
		others, ok := b.Header[name]
		if !ok || len(others) != len(values) {
			return false
		}
		for i := range values {
			if values[i] != others[i] {
				return false
			}
		}
	}
	return true
}

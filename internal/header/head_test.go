package header

import "testing"

// Guards against a name that is judged by where the bytes of a head are split, and against
// bytes of a body that are judged as names.
func TestHeadScanner(t *testing.T) {
	const final, end = "HTTP/1.1 200 OK\r\n", "\r\nbody : x\r\n y\r\n"
	tests := map[string]bool{
		final + "A: b\r\n" + end:           false,
		final + end:                        false,
		"HTTP/1.1 200 OK\nA: b\n\n c":      false,
		final + "A:\r\nB: c : d\r\n" + end: false,
		final + "A: b":                     false,
		"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" + final + end:       false,
		"HTTP/1.1 103 Early Hints\r\n\r\n" + final + "A : b\r\n" + end: true,
		"HTTP/1.1 103\r\n\r\n" + final + " A: b\r\n" + end:             true,
		"HTTP/1.1      103 Early\n\n" + final + "A : b\r\n" + end:      true,
		"HTTP/1.1 1030\r\n\r\n" + final + "A : b\r\n" + end:            false,
		"HTTP/1.1 101 Switching Protocols\r\n\r\n\x00\x01 : \r\n":      false,
		final + "A : b\r\n" + end:                                      true,
		final + "A b: c\r\n" + end:                                     true,
		final + "A\t: b\r\n" + end:                                     true,
		final + "A\x00: b\r\n" + end:                                   true,
		final + "A: b\r\n c\r\n" + end:                                 true,
		final + "A: b\r\n\tc\r\n" + end:                                true,
		final + "A: b\r\n \r\n" + end:                                  true,
		final + ": b\r\n" + end:                                        true,
		final + "A\r\n" + end:                                          true,
		final + "A: b\r\n\r\r\n" + end:                                 true,
	}
	for bytes, want := range tests {
		for split := range len(bytes) + 1 {
			var s HeadScanner
			s.Scan([]byte(bytes[:split]))
			s.Scan([]byte(bytes[split:]))
			if s.Invalid() != want {
				t.Fatalf("%q, split at %d: invalid is %v, want %v", bytes, split, s.Invalid(), want)
			}
		}
	}
}

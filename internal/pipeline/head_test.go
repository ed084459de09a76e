package pipeline

import (
	"strings"
	"testing"
)

// Guards against a request that is started early although net/http may take it for
// something else.
func TestParseHead(t *testing.T) {
	const host = "Host: h.example:80\r\n"
	for head, accepted := range map[string]bool{
		"GET /a?b=c%20d HTTP/1.1\r\n" + host + "X-Fuchsiaspar-Request-Id: 7\r\nAccept: a, b\r\n\r\n": true,
		"HEAD / HTTP/1.1\r\nhost:h\r\nX-Empty:\r\n\r\n":                                              true,
		"POST /a HTTP/1.1\r\n" + host + "\r\n":                                                       false,
		"get /a HTTP/1.1\r\n" + host + "\r\n":                                                        false,
		"GET /a HTTP/1.0\r\n" + host + "\r\n":                                                        false,
		"GET /a\r\n" + host + "\r\n":                                                                 false,
		"GET  /a HTTP/1.1\r\n" + host + "\r\n":                                                       false,
		"GET /a HTTP/1.1 \r\n" + host + "\r\n":                                                       false,
		"GET http://h/a HTTP/1.1\r\n" + host + "\r\n":                                                false,
		"GET * HTTP/1.1\r\n" + host + "\r\n":                                                         false,
		"GET /\x80 HTTP/1.1\r\n" + host + "\r\n":                                                     false,
		"GET /% HTTP/1.1\r\n" + host + "\r\n":                                                        false,
		"GET /a HTTP/1.1\r\n\r\n":                                                                    false,
		"GET /a HTTP/1.1\r\n" + host + host + "\r\n":                                                 false,
		"GET /a HTTP/1.1\r\nHost: a b\r\n\r\n":                                                       false,
		"GET /a HTTP/1.1\r\nHost: \r\n\r\n":                                                          false,
		"GET /a HTTP/1.1\n" + host + "\r\n":                                                          false,
		"GET /a HTTP/1.1\r\nX: 1\n" + host + "\r\n":                                                  false,
		"GET /a HTTP/1.1\r\n" + host + "\n":                                                          false,
		"GET /a HTTP/1.1\r\n" + host + " folded\r\n\r\n":                                             false,
		"GET /a HTTP/1.1\r\n" + host + "X : 1\r\n\r\n":                                               false,
		"GET /a HTTP/1.1\r\n" + host + "X:  1\r\n\r\n":                                               false,
		"GET /a HTTP/1.1\r\n" + host + "X: 1 \r\n\r\n":                                               false,
		"GET /a HTTP/1.1\r\n" + host + "X: \t1\r\n\r\n":                                              false,
		"GET /a HTTP/1.1\r\n" + host + "X: a\rb\r\n\r\n":                                             false,
		"GET /a HTTP/1.1\r\n" + host + "X\r\n\r\n":                                                   false,
		"GET /a HTTP/1.1\r\n" + host + ": 1\r\n\r\n":                                                 false,
		"GET /a HTTP/1.1\r\n" + host + "content-length: 0\r\n\r\n":                                   false,
		"GET /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\n\r\n":                                   false,
		"GET /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n":                          false,
		"GET /a HTTP/1.1\r\n" + host + "Expect: 100-continue\r\n\r\n":                                false,
		"GET /a HTTP/1.1\r\n" + host + "Upgrade: h2c\r\n\r\n":                                        false,
		"GET /a HTTP/1.1\r\n" + host + "Connection: close\r\n\r\n":                                   false,
		"GET /a HTTP/1.1\r\n" + host + "Connection: keep-alive\r\n\r\n":                              true,
		"GET /a HTTP/1.1\r\n" + host + "Connection: keep-alive, close\r\n\r\n":                       false,
		"GET /a HTTP/1.1\r\n" + host + "Connection: X-Other\r\n\r\n":                                 false,
	} {
		if _, ok := parseHead([]byte(head)); ok != accepted {
			t.Errorf("accepted %v, want %v: %q", ok, accepted, head)
		}
	}
}

// Guards against a head whose end is missed because it arrives in pieces.
func TestHeadScanner(t *testing.T) {
	for text, want := range map[string]int{
		"GET / HTTP/1.1\r\nA: b\r\n\r\nrest": 24, "a\n\nrest": 3, "a\n\r\nrest": 4, "a\r\n\nrest": 4,
		"a\r\n\r": -1, "a\r\n \r\n": -1, "a\n\r\r\nb\n\n": 8, "\r\n\r\n": 4, "": -1, "a\r\nb": -1,
	} {
		for cut := 0; cut <= len(text); cut++ {
			var s headScanner
			got := s.end([]byte(text[:cut]))
			if got < 0 {
				if got = s.end([]byte(text[cut:])); got >= 0 {
					got += cut
				}
			}
			if got != want {
				t.Errorf("%q in two pieces of %d bytes and the rest: %d, want %d", text, cut, got, want)
			}
		}
	}
	var s headScanner
	if got := s.end([]byte(strings.Repeat("x", 10000))); got != -1 {
		t.Errorf("found an end at %d", got)
	}
}

package backend

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// endToEnd returns a copy of h without the headers of one connection.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		out[name] = values
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			delete(out, textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// answerHeaders are between the server and this client and are not passed on.
var answerHeaders = []string{HeaderAttempt, HeaderInstance, HeaderNotStarted, HeaderDraining}

// forCaller returns a copy of the headers of an answer that its caller may see.
func forCaller(h http.Header) http.Header {
	out := endToEnd(h)
	for _, name := range answerHeaders {
		delete(out, name)
	}
	return out
}

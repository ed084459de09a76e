package backend_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/model"
)

// Guards against a response without a status of HTTP that is taken for an answer, or for
// the proof that the request has not run.
func TestResponseWithoutAFinalStatus(t *testing.T) {
	const rest = "\r\n" + backend.HeaderAttempt + ": {attempt}\r\n" + backend.HeaderNotStarted + ": true\r\nContent-Length: 0\r\n\r\n"
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.1 099 Trouble", "HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Trouble",
		"HTTP/1.1 999 Trouble", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 +200 OK",
	} {
		t.Run(line, func(t *testing.T) {
			head := line + rest
			address := cutHeadServer(t, head)
			client := backend.New(backend.Options{Silence: longSilence, PlainSilence: longSilence})
			defer client.Close()
			req := order("/" + strings.Repeat("x", len(head)-1))
			req.Deadline = time.Now().Add(time.Second)
			resp, err := client.Do(t.Context(), backend.Target{ID: "server-1", Address: address}, req)
			if err == nil {
				resp.Body.Close()
				t.Fatalf("got a response with status %d", resp.Status)
			}
			var failure *backend.Error
			if errors.As(err, &failure) && failure.Outcome == model.OutcomeNotRun {
				t.Errorf("the request counts as not run: %v", err)
			}
		})
	}
}

// Guards against a server in trouble that counts as ready, since a control response with an
// invalid field name looks like that of a server without the control protocol.
func TestControlResponseWithAnInvalidFieldName(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n", "\r\n{\"ready\":true}"
	ready := func(field string) (bool, error) {
		head := start + field + end
		client := backend.New(backend.Options{Silence: longSilence, PlainSilence: longSilence})
		defer client.Close()
		report, err := client.Health(t.Context(), backend.Target{ID: "server-1", Address: rawServer(t, head)})
		return report.Ready, err
	}
	for _, field := range []string{
		backend.HeaderInstance + " : one\r\n", " " + backend.HeaderInstance + ": one\r\n", backend.HeaderInstance + ": one\r\nX Extra: 1\r\n",
		backend.HeaderInstance + "\x01: one\r\n",
	} {
		if isReady, err := ready(field); err == nil {
			t.Errorf("%q: got ready %v, want an error", field, isReady)
		}
	}
	if isReady, err := ready(backend.HeaderInstance + ": one\r\nX-Extra: a b\r\n"); err != nil || !isReady {
		t.Errorf("a sound response: got ready %v, %v", isReady, err)
	}
}

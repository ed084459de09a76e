package daemon

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/wiretest"
)

// startRawBackend runs a backend server without the control protocol, which writes what
// answer does to all other requests.
func startRawBackend(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) (address string) {
	t.Helper()
	return wiretest.Serve(t, func(c *net.TCPConn, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, backend.ControlPath) {
			_, _ = io.WriteString(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		answer(c, r)
	})
}

// upload sends a long body to an entry VM. It returns an error unless the answer is
// complete.
func upload(t *testing.T, address string) (status int, ran bool, body string, err error) {
	t.Helper()
	// The type hides the length.
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/requests/desk/lookup", io.MultiReader(bytes.NewReader(make([]byte, 6<<20))))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(header.Account, testAccount)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, false, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get(header.Outcome) == "ran", string(data), err
}

// Guards against the beginning of an answer that reaches the caller as the whole one,
// because the server reset the connection while the upload was being sent.
func TestResetDuringUploadIsNoEndOfTheAnswer(t *testing.T) {
	part := strings.Repeat("y", 100)
	for desc, framing := range map[string]string{
		"without a length": "\r\n" + part,
		"with a length":    "Content-Length: 200\r\n\r\n" + part,
		"chunked":          "Transfer-Encoding: chunked\r\n\r\n64\r\n" + part + "\r\n",
	} {
		t.Run(desc, func(t *testing.T) {
			var answers atomic.Int64
			f := startTestFleetWith(t, 2, startRawBackend(t, func(c *net.TCPConn, r *http.Request) {
				answers.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+backend.HeaderAttempt+": "+r.Header.Get(backend.HeaderAttempt)+"\r\n"+framing)
				time.Sleep(2 * time.Millisecond)
				_ = c.SetLinger(0)
			}))
			for _, address := range f.addresses {
				for range 20 {
					if status, ran, _, err := upload(t, address); err == nil && ran && status < http.StatusBadRequest {
						t.Fatalf("the part was delivered through %s as a complete answer", address)
					}
				}
			}
			if answers.Load() == 0 {
				t.Error("no request reached the server")
			}
		})
	}
}

// ownFields stands for the fields that every answer of a server has.
const ownFields = "{own}"

// checkHeads lets servers send answers in raw bytes, with ownFields for the fields that each
// has. A caller must get the body "hello" of a sound one, and nothing of a broken one.
func checkHeads(t *testing.T, broken, sound []string) {
	t.Helper()
	check := func(answer string, isSound bool) {
		var answers atomic.Int64
		f := startTestFleetWith(t, 2, startRawBackend(t, func(c *net.TCPConn, r *http.Request) {
			answers.Add(1)
			// A request on a connection that is being closed unannounced gets no answer.
			_, _ = io.WriteString(c, strings.ReplaceAll(answer, ownFields, backend.HeaderAttempt+": "+r.Header.Get(backend.HeaderAttempt)+"\r\nConnection: close\r\n"))
		}))
		for _, address := range f.addresses {
			request := call{method: http.MethodGet, path: "/v1/requests/desk/lookup", header: map[string]string{header.Account: testAccount}}
			resp, body := request.send(t, address)
			if got := resp.Header.Get(header.Outcome) == "ran" && body == "hello"; got != isSound {
				t.Errorf("%q through %s: got %d %v %q", answer, address, resp.StatusCode, resp.Header, body)
			}
			if !isSound && strings.Contains(body, "hello") {
				t.Errorf("%q through %s: got the server's bytes %q", answer, address, body)
			}
		}
		if answers.Load() == 0 {
			t.Errorf("%q: no request reached the server", answer)
		}
	}
	for _, answer := range broken {
		check(answer, false)
	}
	for _, answer := range sound {
		check(answer, true)
	}
}

// Guards against an answer without a status of HTTP that reaches a caller as an answer.
func TestAnswerWithoutAStatusReachesNoCaller(t *testing.T) {
	const rest = "\r\n" + ownFields + "Content-Length: 5\r\n\r\nhello"
	checkHeads(t,
		[]string{"HTTP/1.1 000 Trouble" + rest, "HTTP/1.1 000" + rest, "HTTP/1.1 099 Trouble" + rest, "HTTP/1.1 600 Trouble" + rest, "HTTP/1.1 20 OK" + rest},
		[]string{"HTTP/1.1 200 OK" + rest, "HTTP/1.1 200" + rest, "HTTP/1.1 299 000" + rest})
}

// Guards against an answer with a field whose name HTTP does not allow. Such a line may hide
// the length or the coding of the body.
func TestAnswerWithAnInvalidFieldNameReachesNoCaller(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\n" + ownFields, "Content-Length: 5\r\n\r\nhello"
	var broken, sound []string
	for _, line := range []string{"X-Extra : 1", "X Extra: 1", " X-Extra: 1", "\tX-Extra: 1", "X\x01Extra: 1", "Transfer-Encoding : chunked"} {
		broken = append(broken, start+line+"\r\n"+end)
	}
	broken = append(broken,
		start+strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", 12)+"X Extra: 1\r\n"+end,
		"HTTP/1.1 103 Early Hints\r\n X-Extra: 1\r\n\r\n"+start+end,
		start+"Content-Length : 5\r\n\r\nhello and more", start+" Content-Length: 5\r\n\r\nhello and more")
	for _, line := range []string{"X-Extra:  a b\tc ", "X_!#$%&'*+-.^`|~1: 1", "X-Filler: " + strings.Repeat("x", 12_000)} {
		sound = append(sound, start+line+"\r\n"+end)
	}
	sound = append(sound, "HTTP/1.1 103 Early Hints\r\nX-Extra: 1\r\n\r\n"+start+end,
		start+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", start+"Content-Length: 5\r\n\r\nhello\r\n X-Extra : 1\r\n")
	checkHeads(t, broken, sound)
}

// Guards against a bound on the fields of an answer that refuses those below it.
func TestAnswersWithManyFields(t *testing.T) {
	fields := func(count int) string {
		// ownFields are two, and one states the length.
		return "HTTP/1.1 200 OK\r\n" + ownFields + strings.Repeat("A: b\r\n", count-3) + "Content-Length: 5\r\n\r\nhello"
	}
	// The relay between entry VMs adds some.
	checkHeads(t, []string{fields(header.MaxFields + 1), fields(50 * header.MaxFields)}, []string{fields(240)})
}

// Guards against the beginning of an answer that a caller of HTTP/1.0, which knows no chunks,
// takes for the whole one when the connection ends.
func TestBrokenOffAnswerIsNotWholeForHTTP10(t *testing.T) {
	const part, whole = 1 << 20, 2 << 20
	f := startTestFleetWith(t, 2, startRawBackend(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n", whole)+strings.Repeat("y", part))
		if strings.HasSuffix(r.URL.Path, "/whole") {
			_, _ = io.WriteString(c, strings.Repeat("y", whole-part)+"\r\n0\r\n\r\n")
		}
	}))
	for _, address := range f.addresses {
		for _, path := range []string{"/lookup/part", "/lookup/whole"} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(waitTimeout))
			if _, err := io.WriteString(conn, "GET /v1/requests/desk"+path+" HTTP/1.0\r\n"+header.Account+": "+testAccount+"\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			data, err := io.ReadAll(conn)
			if isWhole := err == nil; isWhole != strings.HasSuffix(path, "/whole") || !strings.HasPrefix(string(data), "HTTP/1.0 200") {
				t.Errorf("%s through %s: got %d bytes, %v", path, address, len(data), err)
			}
		}
	}
}

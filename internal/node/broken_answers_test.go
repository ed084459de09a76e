package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"fuchsiaspar/internal/header"
	"fuchsiaspar/internal/wiretest"
	"fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

// putServer adds a backend server's entry to the store.
func putServer(store *storetest.Store, id, service, address string) {
	store.Put(platform.PrefixServers+id, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":%q,"version":"v1","zone":"z","slots":100},"status":{"state":"ready","sequence":1,"cold_left_ms":0}}`,
		address, service))
}

// routeDocument returns the configuration of a route that is named by its path.
func routeDocument(path, kind, service string) string {
	return fmt.Sprintf(`%q:{"host":"h","path_prefix":%q,"kind":%q,"timeout_ms":4000,"service":%q,"max_attempts":2}`, path, path, kind, service)
}

// configureKinds configures a route of each kind to a service: /idempotent/,
// /non_idempotent/ and /download/.
func configureKinds(store *storetest.Store, service string) {
	var routes []string
	for _, kind := range []string{"idempotent", "non_idempotent", "download"} {
		routes = append(routes, routeDocument("/"+kind+"/", kind, service))
	}
	store.Put(platform.KeyConfig, fmt.Appendf(nil, `{"version":1,"routes":{%s},"services":{%q:{"health_path":"/health"}},"limits":{"max_body_bytes":%d}}`,
		strings.Join(routes, ","), service, 8<<20))
}

// answerHead returns the head of a server's answer to r, with more fields.
func answerHead(r *http.Request, status, more string) string {
	return "HTTP/1.1 " + status + "\r\n" + platform.HeaderRequestID + ": " + r.Header.Get(platform.HeaderRequestID) + "\r\n" +
		platform.HeaderSeal + ": seal\r\n" + more + "\r\n"
}

// clientAnswer is what a client got.
type clientAnswer struct {
	status int
	header http.Header
	body   string
	// err is nil if the answer was complete.
	err error
}

// exchangeRaw sends a request on a connection of its own and returns the answer. It sends
// the body while it waits.
func exchangeRaw(t *testing.T, address, head, body string) clientAnswer {
	t.Helper()
	return exchangeLate(t, address, head, body, 0)
}

// exchangeLate is exchangeRaw with a client that begins to read the answer after a delay, and
// whose connection takes little of it until then.
func exchangeLate(t *testing.T, address, head, body string, delay time.Duration) clientAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	go func() {
		// The VM may answer before it has read everything.
		_, _ = io.WriteString(conn, head+"\r\n"+body)
	}()
	if delay > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(64 << 10)
		time.Sleep(delay)
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(reader *bufio.Reader) clientAnswer {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return clientAnswer{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return clientAnswer{resp.StatusCode, resp.Header, string(data), err}
}

// requestHead returns the head of a request without its last line.
func requestHead(method, path, more string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: h\r\n" + platform.HeaderRequestID + ": id-1\r\n" + more
}

// startVMWithBackend runs an entry VM with one backend server and routes of each kind.
func startVMWithBackend(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) *Node {
	t.Helper()
	store := storetest.Start(t, 2)
	putServer(store, "i-1", "one", wiretest.Serve(t, answer))
	configureKinds(store, "one")
	n := startNode(t, "vm-a", store)
	eventually(t, "servers known", func() bool { return n.Ready() && len(n.state.Current().Servers["one"]) == 1 })
	return n
}

// Guards against the beginning of an answer without a length that reaches the client as
// the whole one, in a response that waits for the previous one of its connection.
func TestResetOfAnswersToPipelinedRequests(t *testing.T) {
	const requests = 4
	// The longer one exceeds what is held of a response that waits.
	for desc, part := range map[string]int{"short": 100, "long": 1 << 20} {
		t.Run(desc, func(t *testing.T) {
			n := startVMWithBackend(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, answerHead(r, "200 OK", "")+strings.Repeat("y", part))
				time.Sleep(20 * time.Millisecond)
				_ = c.SetLinger(0)
			})
			head := requestHead(http.MethodGet, "/idempotent/x", "") + "\r\n"
			for i, got := range exchangePipelined(t, n.settings.Listen.Front, strings.Repeat(head, requests), requests) {
				if got.err == nil && got.status < http.StatusBadRequest {
					t.Errorf("response %d: the part was delivered as a complete answer", i)
				}
			}
		})
	}
}

// headCase is a server's answer in raw bytes, in which {own} stands for the fields that
// every answer has.
type headCase struct {
	desc, answer string
	// sound reports whether the client must get the answer, with the body "hello" or none.
	sound bool
}

// headKinds are the kinds of requests to which the answers of cases are sent.
var headKinds = []string{"non_idempotent", "idempotent"}

// startHeadServers runs an entry VM with servers that send the answers of cases. Each has
// servers and routes of its own for each kind, since servers that fail are ejected. It also
// returns the paths of the requests that reached a server.
func startHeadServers(t *testing.T, cases []headCase) (n *Node, reached *sync.Map) {
	t.Helper()
	reached = &sync.Map{}
	address := wiretest.Serve(t, func(c *net.TCPConn, r *http.Request) {
		var kind string
		var i int
		_, _ = fmt.Sscanf(strings.ReplaceAll(r.URL.Path, "/", " "), "%s %d", &kind, &i)
		reached.Store(r.URL.Path, true)
		// A request on a connection that is being closed unannounced gets no answer.
		_, _ = io.WriteString(c, strings.ReplaceAll(cases[i].answer, "{own}",
			platform.HeaderRequestID+": "+r.Header.Get(platform.HeaderRequestID)+"\r\n"+platform.HeaderSeal+": seal\r\nConnection: close\r\n"))
	})
	store := storetest.Start(t, 500)
	var routes, services []string
	for i := range cases {
		for _, kind := range headKinds {
			service := fmt.Sprint(kind, "-", i)
			routes = append(routes, routeDocument(fmt.Sprintf("/%s/%d/", kind, i), kind, service))
			services = append(services, fmt.Sprintf(`%q:{"health_path":"/health"}`, service))
			putServer(store, "i-"+service, service, address)
		}
	}
	store.Put(platform.KeyConfig, fmt.Appendf(nil, `{"version":1,"routes":{%s},"services":{%s}}`, strings.Join(routes, ","), strings.Join(services, ",")))
	n = startNode(t, "vm-a", store)
	eventually(t, "servers known", func() bool { return n.Ready() && len(n.state.Current().Servers) == len(services) })
	return n, reached
}

// checkHeads sends two pipelined requests for each of cases and each kind. The client must
// get nothing of an answer that is not sound, and a status that is true about whether the
// request has run.
func checkHeads(t *testing.T, cases []headCase) {
	t.Helper()
	n, reached := startHeadServers(t, cases)
	for i, c := range cases {
		for _, kind := range headKinds {
			paths := []string{fmt.Sprintf("/%s/%d/a", kind, i), fmt.Sprintf("/%s/%d/b", kind, i)}
			requests := requestHead(http.MethodGet, paths[0], "") + "\r\n" + requestHead(http.MethodGet, paths[1], "") + "\r\n"
			ran := 0
			for turn, got := range exchangePipelined(t, n.settings.Listen.Front, requests, len(paths)) {
				_, hasRun := reached.Load(paths[turn])
				if hasRun {
					ran++
				}
				if fault := c.fault(got, hasRun); fault != "" {
					t.Errorf("%s, %s, response %d: got %+v, %s", c.desc, kind, turn, got, fault)
				}
			}
			if ran == 0 {
				t.Errorf("%s, %s: no request reached the server", c.desc, kind)
			}
		}
	}
}

// fault returns what is wrong with what a client got, or an empty string. hasRun reports
// whether its request reached a server.
func (c headCase) fault(got clientAnswer, hasRun bool) string {
	isServers := got.header.Get(platform.HeaderSeal) == "seal" && (got.body == "hello" || got.status == http.StatusNoContent)
	switch {
	case got.err != nil:
		return "which is no answer"
	case c.sound && !isServers:
		return "want the server's answer"
	case !c.sound && (got.header.Get(platform.HeaderSeal) != "" || got.status < http.StatusInternalServerError):
		return "want a failure of the VM"
	case !c.sound && hasRun == (got.status == http.StatusServiceUnavailable):
		return "which is wrong about whether the request has run"
	}
	return ""
}

// exchangePipelined sends requests on a connection of their own and returns the answers, up
// to the first that is not complete.
func exchangePipelined(t *testing.T, address, requests string, count int) []clientAnswer {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, requests); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	var answers []clientAnswer
	for len(answers) < count {
		got := readAnswer(reader)
		answers = append(answers, got)
		if got.err != nil {
			break
		}
	}
	return answers
}

// Guards against an answer without a status of HTTP that reaches a client as an answer.
func TestAnswerWithoutAStatusReachesNoClient(t *testing.T) {
	const rest = "\r\n{own}Content-Length: 5\r\n\r\nhello"
	var cases []headCase
	for _, line := range []string{
		"HTTP/1.1 000 Trouble", "HTTP/1.1 000", "HTTP/1.1 000 ", "HTTP/1.0 000 OK", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble",
		"HTTP/1.1 101 Switching Protocols", "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 00 OK", "HTTP/1.1 0000 OK",
		"HTTP/1.1 +200 OK", "HTTP/1.1 -200 OK", "HTTP/1.1 2 00 OK", "HTTP/1.1 OK", "HTTP/2.0 200 OK", "HTTP/1.1 \x00200 OK",
	} {
		cases = append(cases,
			headCase{line, line + rest, false},
			headCase{line + " before an answer", line + "\r\n{own}Content-Length: 0\r\n\r\nHTTP/1.1 200 OK" + rest, false},
			headCase{line + " without a length", line + "\r\n{own}\r\nhello", false})
	}
	for _, line := range []string{
		"HTTP/1.1 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 200 000", "HTTP/1.0 200 OK", "HTTP/1.1 299 Other",
		"HTTP/1.1 404 Not Found", "HTTP/1.1 499 Other", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK",
	} {
		cases = append(cases, headCase{line, line + rest, true})
	}
	cases = append(cases, headCase{"204", "HTTP/1.1 204 No Content\r\n{own}\r\n", true})
	checkHeads(t, cases)
}

// Guards against an answer with a field whose name HTTP does not allow. Such a line may hide
// the length or the coding of the body.
func TestAnswerWithAnInvalidFieldNameReachesNoClient(t *testing.T) {
	const start, end = "HTTP/1.1 200 OK\r\n{own}", "Content-Length: 5\r\n\r\nhello"
	var cases []headCase
	for _, line := range []string{
		"X-Extra : 1", "X Extra: 1", "X-Extra\t: 1", "X\tExtra: 1", " X-Extra: 1", "\tX-Extra: 1", " ", "\t", ": 1", " : 1", "X-Extra",
		"X-Extra\x00: 1", "\x00X-Extra: 1", "X\x01Extra: 1", "X\x07Extra: 1", "X\x08Extra: 1", "X\x0bExtra: 1", "\x0cX-Extra: 1", "X\x1bExtra: 1",
		"X\x1fExtra: 1", "X\x7fExtra: 1", "X\rExtra: 1", "\rX-Extra: 1", "X-Extra\r: 1", "X\xe4Extra: 1", "X(Extra): 1", "X\"Extra: 1",
	} {
		cases = append(cases,
			headCase{fmt.Sprintf("%q", line), start + line + "\r\n" + end, false},
			headCase{fmt.Sprintf("%q before all others", line), "HTTP/1.1 200 OK\r\n" + line + "\r\n{own}" + end, false},
			headCase{fmt.Sprintf("%q after all others", line), start + "Content-Length: 5\r\n" + line + "\r\n\r\nhello", false},
			headCase{fmt.Sprintf("%q without a length", line), start + line + "\r\n\r\nhello", false},
			headCase{fmt.Sprintf("%q before bare line feeds", line), strings.ReplaceAll(start+line+"\r\n"+end, "\r\n", "\n"), false},
			headCase{fmt.Sprintf("%q beyond 8 KiB", line), start + strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", 12) + line + "\r\n" + end, false},
			headCase{fmt.Sprintf("%q in early hints", line), "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + start + end, false})
	}
	for _, framing := range []string{
		"Content-Length : 5\r\n\r\nhello and more", "Content-Length\t: 5\r\n\r\nhello and more", "Content Length: 5\r\n\r\nhello and more",
		" Content-Length: 5\r\n\r\nhello and more", "\tContent-Length: 5\r\n\r\nhello and more", "Content-Length\x00: 5\r\n\r\nhello and more",
		"Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", " Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"Transfer-Encoding\x01: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "Transfer-Encoding : chunked\r\nContent-Length: 15\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		cases = append(cases, headCase{fmt.Sprintf("%q", framing), start + framing, false})
	}
	for _, line := range []string{
		"X-Extra:1", "X-Extra:", "X-Extra: ", "x-extra:  a b\tc ", "X-Extra: a: b", "X-Extra: \t1", "X_!#$%&'*+-.^`|~1: 1", "9: 1", "X-Extra: \xe4",
		"X-Extra: 1\r\nX-Extra: 2", "X-Filler: " + strings.Repeat("x", 12_000),
	} {
		cases = append(cases,
			headCase{fmt.Sprintf("%.40q", line), start + line + "\r\n" + end, true},
			headCase{fmt.Sprintf("%.40q with bare line feeds", line), strings.ReplaceAll(start+line+"\r\n"+end, "\r\n", "\n"), true},
			headCase{fmt.Sprintf("%.40q without a length", line), start + line + "\r\n\r\nhello", true},
			headCase{fmt.Sprintf("%.40q in early hints", line), "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n\r\n" + start + end, true})
	}
	cases = append(cases,
		headCase{"chunked, with blanks in the body", start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", true},
		headCase{"body that looks like a field", start + "Content-Length: 5\r\n\r\nhello\r\n X-Extra : 1\r\n", true})
	checkHeads(t, cases)
}

// Guards against a bound on the fields of an answer that refuses those below it.
func TestAnswersWithManyFields(t *testing.T) {
	fields := func(count int) string {
		// {own} has three fields, and one states the length.
		return "HTTP/1.1 200 OK\r\n{own}" + strings.Repeat("A: b\r\n", count-4) + "Content-Length: 5\r\n\r\nhello"
	}
	checkHeads(t, []headCase{
		{"as many fields as allowed", fields(header.MaxFields), true},
		{"after informational ones", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("A: b\r\n", 200) + "\r\n" + fields(header.MaxFields), true},
		{"one more field", fields(header.MaxFields + 1), false},
		{"many more fields", fields(50 * header.MaxFields), false},
	})
}

// Guards against the beginning of an answer that a client of HTTP/1.0, which knows no chunks,
// takes for the whole one when the connection ends.
func TestBrokenOffAnswerIsNotWholeForHTTP10(t *testing.T) {
	const part, whole = 1 << 20, 2 << 20
	n := startVMWithBackend(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, answerHead(r, "200 OK", "Transfer-Encoding: chunked\r\n")+fmt.Sprintf("%x\r\n", whole)+strings.Repeat("y", part))
		if strings.HasSuffix(r.URL.Path, "/whole") {
			_, _ = io.WriteString(c, strings.Repeat("y", whole-part)+"\r\n0\r\n\r\n")
		}
	})
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, path := range []string{"/download/part", "/download/whole"} {
			head := strings.Replace(requestHead(http.MethodGet, path, "Connection: close\r\n"), "HTTP/1.1", version, 1)
			got := exchangeRaw(t, n.settings.Listen.Front, head, "")
			if isWhole := got.err == nil; isWhole != strings.HasSuffix(path, "/whole") || got.status != http.StatusOK {
				t.Errorf("%s, %s: got %d with %d bytes, %v", version, path, got.status, len(got.body), got.err)
			}
		}
	}
}

// Guards against a whole answer that is lost on its way to a client that still sends its
// upload, because the VM resets the connection as soon as it has written the answer.
func TestAnswerDuringUploadArrives(t *testing.T) {
	const size = 800 << 10
	for desc, framing := range map[string]string{"with a length": fmt.Sprintf("Content-Length: %d\r\n", size), "without a length": ""} {
		t.Run(desc, func(t *testing.T) {
			n := startVMWithBackend(t, func(c *net.TCPConn, r *http.Request) {
				_, _ = io.WriteString(c, answerHead(r, "200 OK", framing)+strings.Repeat("y", size))
				_ = c.CloseWrite()
				awaitReceived(t, c)
			})
			for _, u := range uploads("/non_idempotent/x") {
				got := exchangeLate(t, n.settings.Listen.Front, u.head, u.body, 50*time.Millisecond)
				if got.err != nil || got.status != http.StatusOK || len(got.body) != size {
					t.Errorf("%s: got %d with %d bytes, %v, want 200 with %d bytes", u.desc, got.status, len(got.body), got.err, size)
				}
			}
		})
	}
}

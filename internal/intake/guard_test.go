package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/decisions"

	"github.com/uber-go/tally/v4"
)

// guarded is an HTTP server behind a guard.
type guarded struct {
	t       *testing.T
	guard   *Guard
	address string
}

func serveGuarded(t *testing.T, limits Limits, handler http.HandlerFunc) *guarded {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewGuard(limits, decisions.Discard(), tally.NoopScope)
	server := &http.Server{Handler: g.Handler(handler), MaxHeaderBytes: 64 << 10}
	g.Configure(server)
	go func() { _ = server.Serve(g.Listen(inner, Front)) }()
	t.Cleanup(func() { server.Close() })
	return &guarded{t: t, guard: g, address: inner.Addr().String()}
}

func (g *guarded) dial() net.Conn {
	g.t.Helper()
	c, err := net.Dial("tcp", g.address)
	if err != nil {
		g.t.Fatal(err)
	}
	g.t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(30 * time.Second))
	return c
}

func (g *guarded) send(c net.Conn, text string) {
	g.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		g.t.Fatal(err)
	}
}

// status reads one response.
func (g *guarded) status(r *bufio.Reader) int {
	g.t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		g.t.Fatal(err)
	}
	return resp.StatusCode
}

// eventually waits until the table is as wanted.
func (g *guarded) eventually(what string, holds func(t *Table) bool) {
	g.t.Helper()
	for range 1000 {
		g.guard.mu.Lock()
		ok := holds(g.guard.table)
		g.guard.mu.Unlock()
		if ok {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.t.Fatalf("timed out waiting: %s", what)
}

func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(body)
}

func frontLimits(connections int, memory int64) Limits {
	limits := Limits{Memory: memory}
	limits.Connections[Front] = connections
	return limits
}

const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"

// TestBodiesAreNotTakenForHeaders guards against counting the lines of a body as header
// fields, and against accounting that remains after a request: in one piece, in single
// bytes, and with requests sent ahead.
func TestBodiesAreNotTakenForHeaders(t *testing.T) {
	g := serveGuarded(t, frontLimits(10, 1<<20), echo)
	lines := strings.Repeat("\n", 20_000)
	long := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(lines), lines)
	for _, pieces := range []int{1 << 20, 1000, 7} {
		c := g.dial()
		reader := bufio.NewReader(c)
		text := strings.Repeat(request+"\r\n\r\n\r\n\n", 3) + long + strings.Repeat(request+"\r\n\r\n\r\n\n", 3)
		for text != "" {
			piece := text[:min(pieces, len(text))]
			text = text[len(piece):]
			g.send(c, piece)
		}
		for range 7 {
			if status := g.status(reader); status != http.StatusOK {
				t.Fatalf("status %d in pieces of %d", status, pieces)
			}
		}
	}
	g.eventually("only the idle connections held", func(table *Table) bool { return table.held == 3*connectionCost })
}

// TestManyFields guards against headers whose fields take far more memory than their
// bytes, and against refusing a legal header while there is memory.
func TestManyFields(t *testing.T) {
	field := func(i int) string { return fmt.Sprintf("%x:\r\n", i) }
	var legal, many strings.Builder
	for i := range 2500 {
		legal.WriteString(field(i))
	}
	for i := range 8000 {
		many.WriteString(field(i))
	}
	g := serveGuarded(t, frontLimits(10, 4<<20), echo)
	c := g.dial()
	g.send(c, request+legal.String()+"\r\nhello")
	if status := g.status(bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("legal header: status %d", status)
	}
	c = g.dial()
	// The server may refuse the header before it has been sent.
	_, _ = io.WriteString(c, request+many.String())
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("too many fields: status %d", resp.StatusCode)
	}
	tight := serveGuarded(t, frontLimits(10, 200<<10), echo)
	c = tight.dial()
	_, _ = io.WriteString(c, request+legal.String()+"\r\nhello")
	if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("no memory: status %d", resp.StatusCode)
	}
}

// TestNewConnectionTakesThePlaceOfASilentOne guards against a listener that silent
// connections fill, and against descriptors above its limit.
func TestNewConnectionTakesThePlaceOfASilentOne(t *testing.T) {
	g := serveGuarded(t, frontLimits(4, 1<<20), echo)
	var silent []net.Conn
	for range 40 {
		silent = append(silent, g.dial())
	}
	c := g.dial()
	g.send(c, request+"\r\nhello")
	if status := g.status(bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	g.guard.mu.Lock()
	count := len(g.guard.conns)
	g.guard.mu.Unlock()
	if count > 4 {
		t.Errorf("%d connections", count)
	}
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("the first silent connection sent something")
	}
}

// TestHeaderIsRefusedForANewConnection guards against closing a connection on which a
// request is arriving without saying that it did not run.
func TestHeaderIsRefusedForANewConnection(t *testing.T) {
	g := serveGuarded(t, frontLimits(1, 1<<20), echo)
	arriving := g.dial()
	g.send(arriving, "POST / HTTP/1.1\r\nHo")
	g.eventually("the header", func(table *Table) bool {
		return len(table.clients) == 1 && table.clients[0].phase == Header && time.Since(table.clients[0].since) > newcomerTime
	})
	c := g.dial()
	g.send(c, request+"\r\nhello")
	if status := g.status(bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("new connection: status %d", status)
	}
	if status := g.status(bufio.NewReader(arriving)); status != http.StatusServiceUnavailable {
		t.Errorf("arriving request: status %d", status)
	}
}

// TestStalledBodyIsRefusedForMemory guards against bodies that stop short of their end and
// hold the memory that others need. The refusal must say that the request did not run.
func TestStalledBodyIsRefusedForMemory(t *testing.T) {
	reserve := func(w http.ResponseWriter, r *http.Request) {
		if !FromContext(r.Context()).Reserve(40 << 10) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		echo(w, r)
	}
	// One request fits, and the fixed costs of both.
	g := serveGuarded(t, frontLimits(10, 2*(connectionCost+requestCost)+50<<10), reserve)
	stalled := g.dial()
	g.send(stalled, request+"\r\nhell")
	g.eventually("the stalled body", func(table *Table) bool {
		if len(table.clients) == 0 || !table.clients[0].sent.waiting {
			return false
		}
		stalledFor, _ := table.clients[0].sent.slow(stalledAfter, time.Now())
		return stalledFor
	})
	c := g.dial()
	g.send(c, request+"\r\nhello")
	if status := g.status(bufio.NewReader(c)); status != http.StatusOK {
		t.Errorf("ordinary request: status %d", status)
	}
	if status := g.status(bufio.NewReader(stalled)); status != http.StatusServiceUnavailable {
		t.Errorf("stalled request: status %d", status)
	}
}

// TestEvictedRequestIsNotServed guards against serving a request whose client may have
// been told that it did not run.
func TestEvictedRequestIsNotServed(t *testing.T) {
	g := serveGuarded(t, frontLimits(10, 1<<20), func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		c.guard.mu.Lock()
		c.guard.table.evict(c.client)
		c.guard.mu.Unlock()
		c.evict(ErrEvicted)
		if c.Dispatched() {
			t.Error("an evicted request was dispatched")
		}
		if _, err := io.ReadAll(r.Body); err != error(ErrEvicted) {
			t.Errorf("reading the body: %v", err)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := g.dial()
	g.send(c, request+"\r\nhell")
	if status := g.status(bufio.NewReader(c)); status != http.StatusServiceUnavailable {
		t.Errorf("status %d", status)
	}
}

// lines counts log lines and the decisions that they report.
type lines struct{ lines, decisions int }

func (l *lines) Event(_ string, fields ...any) {
	l.lines++
	for i := 0; i < len(fields); i += 2 {
		if fields[i] == "count" {
			l.decisions += fields[i+1].(int)
		}
	}
}

// TestLogLinesAreBounded guards against one log line for each connection of a crowd, and
// against decisions that no line reports.
func TestLogLinesAreBounded(t *testing.T) {
	log := &lines{}
	g := NewGuard(frontLimits(2, 1<<20), log, tally.NoopScope)
	for range 100 {
		client, server := net.Pipe()
		defer client.Close()
		if g.admit(server, Front) == nil {
			t.Fatal("not admitted")
		}
	}
	now := time.Now()
	g.sweep(now)
	g.sweep(now.Add(reportInterval / 2))
	g.sweep(now.Add(reportInterval))
	if log.lines != 1 || log.decisions != 98 {
		t.Errorf("%d lines about %d decisions, want 1 about 98", log.lines, log.decisions)
	}
}

// TestSlowHeaderIsRefused checks that a header that takes too long ends with 408 and that
// its connection is closed.
func TestSlowHeaderIsRefused(t *testing.T) {
	g := serveGuarded(t, frontLimits(10, 1<<20), echo)
	c := g.dial()
	g.send(c, "POST / HTTP/1.1\r\nHo")
	g.eventually("the header", func(table *Table) bool { return len(table.clients) == 1 && table.clients[0].phase == Header })
	g.guard.sweep(time.Now().Add(defaultHeaderTime + time.Second))
	reader := bufio.NewReader(c)
	if status := g.status(reader); status != http.StatusRequestTimeout {
		t.Errorf("status %d", status)
	}
	if _, err := reader.ReadByte(); err == nil {
		t.Error("the connection is open")
	}
	g.eventually("no connections", func(table *Table) bool { return len(table.clients) == 0 && table.held == 0 })
}

package decisions

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// blockedWriter blocks every write until release is closed, like a pipe whose
// reader has stopped. entered is closed at the first write.
type blockedWriter struct {
	entered chan struct{}
	release chan struct{}
	once    sync.Once
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	s.once.Do(func() { close(s.entered) })
	<-s.release
	return len(p), nil
}

func newLog(out io.Writer) *Log {
	return New(log.NewWithOptions(out, log.Options{Formatter: log.LogfmtFormatter}), tally.NoopScope)
}

func TestBlockedOutputDelaysNoCaller(t *testing.T) {
	out := &blockedWriter{entered: make(chan struct{}), release: make(chan struct{})}
	l := newLog(out)
	if err := l.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	l.Event("first")
	<-out.entered
	// If one of these calls blocked, the test would hang.
	for range 2 * queueCapacity {
		l.Event("more")
	}
	if dropped := l.dropped.Load(); dropped != queueCapacity {
		t.Errorf("%d lines dropped, want %d", dropped, queueCapacity)
	}
	close(out.release)
	if err := l.Stop(context.Background()); err != nil {
		t.Error(err)
	}
}

func TestLinesAboutRequestsAreBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	l := newLog(&out)
	if err := l.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	for range servedBurst + 500 {
		l.Served("answered", "request", "id")
	}
	l.Event("configuration in force", "version", 7)
	if err := l.Stop(context.Background()); err != nil {
		t.Fatal(err)
	}
	text := out.String()
	if n := strings.Count(text, "msg=answered"); n < servedBurst || n > servedBurst+servedLinesPerSecond {
		t.Errorf("%d lines about requests", n)
	}
	for _, want := range []string{`msg="configuration in force" version=7`, `msg="log lines dropped" count=`} {
		if !strings.Contains(text, want) {
			t.Errorf("no line with %s", want)
		}
	}
}

// BenchmarkServed measures queueing, formatting and writing one line.
func BenchmarkServed(b *testing.B) {
	var out bytes.Buffer
	l := newLog(&out)
	for b.Loop() {
		out.Reset()
		l.enqueue(line{log.InfoLevel, "answered", []any{"request", "9c41d07be2a35f68", "ms", 42, "revision", 7, "age", "1s",
			"version", 3, "route", "r-1", "kind", "idempotent", "object", "17", "server", "i-7f3a91c2", "zone", "z",
			"rank", 0, "load", "0.33", "cold", false, "attempts", 1, "status", 200}})
		entry := <-l.queue
		l.logger.Log(entry.level, entry.message, entry.fields...)
	}
}

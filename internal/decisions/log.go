// Package decisions writes one structured line for each decision that touches
// a request or changes what the process believes. Lines are written by one
// goroutine from a bounded queue: a caller never waits, and what the queue or
// the budget can't take is counted and told.
package decisions

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"fuchsiaspar/internal/background"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait for a slow reader of the output.
	queueLines = 1024
	// linesPerSecond and burstLines bound the lines about requests that went
	// as planned. Other lines are only bounded by the queue.
	linesPerSecond = 60
	burstLines     = 120
	// failureLinesPerSecond bounds the lines about requests that failed or
	// were refused.
	failureLinesPerSecond = 200
	failureBurstLines     = 400
	// dropReport is how often dropped lines are counted in a line.
	dropReport = 5 * time.Second
)

type line struct {
	level  log.Level
	text   string
	fields []any
}

// Log writes decisions. It is safe for concurrent use.
type Log struct {
	logger  *log.Logger
	queue   chan line
	routine *rate.Limiter
	failure *rate.Limiter
	group   background.Group
	dropped atomic.Int64
	counter tally.Counter
}

// New returns a log that writes to logger from Start on.
func New(logger *log.Logger, scope tally.Scope) *Log {
	return &Log{
		logger:  logger,
		queue:   make(chan line, queueLines),
		routine: rate.NewLimiter(linesPerSecond, burstLines),
		failure: rate.NewLimiter(failureLinesPerSecond, failureBurstLines),
		counter: scope.Counter("log_lines_dropped"),
	}
}

// Discard returns a log that writes nothing, for tests.
func Discard() *Log { return New(log.New(io.Discard), tally.NoopScope) }

// Start begins to write.
func (l *Log) Start(ctx context.Context) error {
	if err := l.group.Start(ctx); err != nil {
		return err
	}
	l.group.Go(l.write)
	return nil
}

// Stop writes what is queued and ends.
func (l *Log) Stop(ctx context.Context) error { return l.group.Stop(ctx) }

// Served writes the line of a request that went as planned, if the budget
// allows.
func (l *Log) Served(text string, fields ...any) {
	if !l.routine.Allow() {
		l.drop()
		return
	}
	l.push(line{log.InfoLevel, text, fields})
}

// Failed writes the line of a request that was refused, repeated or failed.
func (l *Log) Failed(text string, fields ...any) {
	if !l.failure.Allow() {
		l.drop()
		return
	}
	l.push(line{log.WarnLevel, text, fields})
}

// Belief writes the line of a change in what the process believes.
func (l *Log) Event(text string, fields ...any) { l.push(line{log.InfoLevel, text, fields}) }

// Fault writes the line of a fault that an operator should look at.
func (l *Log) Error(text string, fields ...any) { l.push(line{log.ErrorLevel, text, fields}) }

func (l *Log) push(entry line) {
	select {
	case l.queue <- entry:
	default:
		l.drop()
	}
}

func (l *Log) drop() {
	l.dropped.Add(1)
	l.counter.Inc(1)
}

func (l *Log) write(ctx context.Context) {
	ticker := time.NewTicker(dropReport)
	defer ticker.Stop()
	for {
		select {
		case entry := <-l.queue:
			l.logger.Log(entry.level, entry.text, entry.fields...)
		case <-ticker.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case entry := <-l.queue:
			l.logger.Log(entry.level, entry.text, entry.fields...)
		default:
			l.reportDropped()
			return
		}
	}
}

func (l *Log) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.logger.Warn("log lines dropped", "count", n)
	}
}

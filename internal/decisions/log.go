// Package decisions is the structured log of an entry VM: one line for each
// outcome of a request and for each change of the VM's state. One goroutine
// writes the lines from a bounded queue, so that callers never block. Lines that
// exceed the queue or a rate limit are dropped, and the number of dropped lines is
// logged.
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
	// queueCapacity is the number of lines that may wait while the output blocks.
	queueCapacity = 1024
	// servedLinesPerSecond and servedBurst limit the rate of lines about requests
	// that succeeded.
	servedLinesPerSecond = 60
	servedBurst          = 120
	// failedLinesPerSecond and failedBurst limit the rate of lines about requests
	// that failed, were retried or were refused. All other lines are limited only
	// by the queue.
	failedLinesPerSecond = 200
	failedBurst          = 400
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = 5 * time.Second
)

// line is a log line waiting in the queue.
type line struct {
	level   log.Level
	message string
	fields  []any
}

// Log writes log lines in the background. It is safe for concurrent use.
type Log struct {
	logger         *log.Logger
	queue          chan line
	servedLimiter  *rate.Limiter
	failedLimiter  *rate.Limiter
	group          background.Group
	dropped        atomic.Int64
	droppedCounter tally.Counter
}

// New returns a log that writes to logger once Start has been called. Until then,
// lines wait in the queue.
func New(logger *log.Logger, scope tally.Scope) *Log {
	return &Log{
		logger:         logger,
		queue:          make(chan line, queueCapacity),
		servedLimiter:  rate.NewLimiter(servedLinesPerSecond, servedBurst),
		failedLimiter:  rate.NewLimiter(failedLinesPerSecond, failedBurst),
		droppedCounter: scope.Counter("log_lines_dropped"),
	}
}

// Discard returns a log that writes nothing, for use in tests.
func Discard() *Log { return New(log.New(io.Discard), tally.NoopScope) }

// Start starts the goroutine that writes the lines. It returns an error if the log
// was started before.
func (l *Log) Start(ctx context.Context) error {
	if err := l.group.Start(ctx); err != nil {
		return err
	}
	l.group.Go(l.writeLoop)
	return nil
}

// Stop writes the queued lines and ends the goroutine. It returns an error if that
// takes longer than ctx allows.
func (l *Log) Stop(ctx context.Context) error { return l.group.Stop(ctx) }

// Served logs a request that succeeded, at info level and subject to a rate limit.
// fields are alternating keys and values.
func (l *Log) Served(message string, fields ...any) {
	if !l.servedLimiter.Allow() {
		l.countDropped()
		return
	}
	l.enqueue(line{log.InfoLevel, message, fields})
}

// Failed logs a request or an attempt that failed or was refused, at warning level
// and subject to a rate limit.
func (l *Log) Failed(message string, fields ...any) {
	if !l.failedLimiter.Allow() {
		l.countDropped()
		return
	}
	l.enqueue(line{log.WarnLevel, message, fields})
}

// Event logs a change of the VM's state or of its view of other processes, at
// info level.
func (l *Log) Event(message string, fields ...any) { l.enqueue(line{log.InfoLevel, message, fields}) }

// Error logs a problem that needs the attention of an operator, at error level.
func (l *Log) Error(message string, fields ...any) { l.enqueue(line{log.ErrorLevel, message, fields}) }

// enqueue queues a line, or drops it if the queue is full.
func (l *Log) enqueue(entry line) {
	select {
	case l.queue <- entry:
	default:
		l.countDropped()
	}
}

func (l *Log) countDropped() {
	l.dropped.Add(1)
	l.droppedCounter.Inc(1)
}

// writeLoop writes queued lines until ctx is done, then writes the rest.
func (l *Log) writeLoop(ctx context.Context) {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case entry := <-l.queue:
			l.logger.Log(entry.level, entry.message, entry.fields...)
		case <-ticker.C:
			l.reportDropped()
		case <-ctx.Done():
			l.flush()
			return
		}
	}
}

// flush writes all queued lines.
func (l *Log) flush() {
	for {
		select {
		case entry := <-l.queue:
			l.logger.Log(entry.level, entry.message, entry.fields...)
		default:
			l.reportDropped()
			return
		}
	}
}

// reportDropped logs the number of lines dropped since the last report, if any.
func (l *Log) reportDropped() {
	if n := l.dropped.Swap(0); n > 0 {
		l.logger.Warn("log lines dropped", "count", n)
	}
}

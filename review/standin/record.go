package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{start: time.Now(), file: file}, err
}

func (r *record) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *record) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) seconds(at time.Time) float64 { return at.Sub(r.start).Seconds() }

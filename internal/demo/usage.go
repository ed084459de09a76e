package demo

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// capWindow is the length of the sliding window in which caps per second are
// checked.
const capWindow = time.Second

// usageStep is the time that one value of a series covers, and by which the window
// advances.
const usageStep = 50 * time.Millisecond

// linkUsage counts the bytes that crossed each link between regions, by direction.
type linkUsage struct {
	mu      sync.Mutex
	started time.Time
	bytes   map[[2]model.Region][]int64
}

// newLinkUsage returns empty counts whose series start now.
func newLinkUsage() *linkUsage {
	return &linkUsage{started: time.Now(), bytes: make(map[[2]model.Region][]int64)}
}

// add counts n bytes that cross a link now. Bytes within a region are not counted.
func (u *linkUsage) add(from, to model.Region, n int) {
	if from == to || n <= 0 {
		return
	}
	at := int(time.Since(u.started) / usageStep)
	key := [2]model.Region{from, to}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes[key] = addAt(u.bytes[key], at, int64(n))
}

// addAt adds n to the value at an index of a series, which grows as needed.
func addAt(series []int64, at int, n int64) []int64 {
	for len(series) <= at {
		series = append(series, 0)
	}
	series[at] += n
	return series
}

// peak returns the highest sum of a series over any window.
func peak(series []int64) int64 {
	size := int(capWindow / usageStep)
	var sum, highest int64
	for i, n := range series {
		sum += n
		if i >= size {
			sum -= series[i-size]
		}
		highest = max(highest, sum)
	}
	return highest
}

// peaks returns the highest number of bytes in one window for each link.
func (u *linkUsage) peaks() map[[2]model.Region]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	highest := make(map[[2]model.Region]int64, len(u.bytes))
	for key, series := range u.bytes {
		highest[key] = peak(series)
	}
	return highest
}

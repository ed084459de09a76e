package demo

import (
	"sync"
	"time"

	"fuchsiaspar/internal/model"
)

// window is the length of time over which caps a second are judged.
const window = time.Second

// step is the resolution of the windows.
const step = 50 * time.Millisecond

// linkUsage counts the bytes that crossed each link between regions.
type linkUsage struct {
	mu      sync.Mutex
	started time.Time
	bytes   map[[2]model.Region][]int64
}

func newLinkUsage() *linkUsage {
	return &linkUsage{started: time.Now(), bytes: make(map[[2]model.Region][]int64)}
}

func (u *linkUsage) add(from, to model.Region, n int) {
	if from == to || n <= 0 {
		return
	}
	at := int(time.Since(u.started) / step)
	key := [2]model.Region{from, to}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.bytes[key] = addAt(u.bytes[key], at, int64(n))
}

func addAt(series []int64, at int, n int64) []int64 {
	for len(series) <= at {
		series = append(series, 0)
	}
	series[at] += n
	return series
}

// peak returns the largest sum over any window of a series.
func peak(series []int64) int64 {
	size := int(window / step)
	var sum, most int64
	for i, n := range series {
		sum += n
		if i >= size {
			sum -= series[i-size]
		}
		most = max(most, sum)
	}
	return most
}

// peaks returns the largest count of bytes in one window for each link.
func (u *linkUsage) peaks() map[[2]model.Region]int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	most := make(map[[2]model.Region]int64, len(u.bytes))
	for key, series := range u.bytes {
		most[key] = peak(series)
	}
	return most
}

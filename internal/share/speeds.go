package share

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"time"

	"fuchsiaspar/internal/model"
)

const (
	// maxSpeedAge is how long a report about the speed of a server is passed on. The
	// estimates of servers use none that is older.
	maxSpeedAge = 2 * time.Second
	// speedRefresh is how often a report that has changed little is repeated with newer
	// evidence, and speedStep the change of SpeedReport.Slowness that is told earlier,
	// which is a factor of 1.2.
	speedRefresh = 500 * time.Millisecond
	speedStep    = 20
	// maxSpeedOrigins is the number of VMs whose reports about a server are passed on. An
	// estimate needs two of them and uses at most six.
	maxSpeedOrigins = 4
	// maxSpeedServers bounds the servers with reports.
	maxSpeedServers = 128
	// maxSpeedRecords bounds the reports in a message, some 14 bytes each. The largest
	// slowness goes first. With six, the reports of ordinary operation took more bytes than
	// all other parts of the messages.
	maxSpeedRecords = 4
)

// speed is the report of a VM about a server, with the time of the evidence and the link
// that it was heard on, nil for this VM.
type speed struct {
	origin   uint16
	slowness int16
	at       time.Time
	from     *link
}

// speedKey identifies a report.
type speedKey struct {
	server uint64
	origin uint16
}

// speedTable holds the latest reports by the hash of the server.
type speedTable map[uint64][]speed

// speedOrigin returns the number that stands for a VM in reports.
func speedOrigin(vm model.VMID) uint16 {
	h := fnv.New32a()
	// Write on a hash.Hash never returns an error.
	_, _ = h.Write([]byte(vm))
	sum := h.Sum32()
	return uint16(sum>>16) ^ uint16(sum)
}

// add takes over a report and reports whether it did: it must be newer than that of the
// same VM, and there must be room. A VM takes the place of another whose report is due
// for a refresh.
func (t speedTable) add(server uint64, s speed) bool {
	list, known := t[server]
	oldest := 0
	for i := range list {
		if list[i].origin == s.origin {
			if !s.at.After(list[i].at) {
				return false
			}
			list[i] = s
			return true
		}
		if list[i].at.Before(list[oldest].at) {
			oldest = i
		}
	}
	switch {
	case !known && len(t) >= maxSpeedServers:
		return false
	case len(list) < maxSpeedOrigins:
		t[server] = append(list, s)
		return true
	case s.at.Sub(list[oldest].at) < speedRefresh:
		return false
	}
	list[oldest] = s
	return true
}

// forget removes the reports that have expired.
func (t speedTable) forget(now time.Time) {
	for server, list := range t {
		list = slices.DeleteFunc(list, func(s speed) bool { return now.Sub(s.at) >= maxSpeedAge })
		if t[server] = list; len(list) == 0 {
			delete(t, server)
		}
	}
}

// forgetSpeeds removes what was sent too long ago to matter.
func (o *outStream) forgetSpeeds(now time.Time) {
	for key, s := range o.speeds {
		if now.Sub(s.at) >= maxSpeedAge {
			delete(o.speeds, key)
		}
	}
}

// speedDue reports whether a report is to be sent on a link.
func (l *link) speedDue(key speedKey, s speed, now time.Time) bool {
	if !carries(l, s.from) || now.Sub(s.at) >= maxSpeedAge {
		return false
	}
	last, sent := l.out.speeds[key]
	if !sent {
		return true
	}
	newer := s.at.Sub(last.at)
	return newer >= speedRefresh || newer > 0 && abs(int32(s.slowness)-int32(last.slowness)) >= speedStep
}

// addSpeeds adds reports about the speeds of servers to a message.
func (e *exchange) addSpeeds(l *link, m *message, now time.Time) {
	if len(e.speeds) == 0 {
		return
	}
	for server, list := range e.speeds {
		for _, s := range list {
			if l.speedDue(speedKey{server, s.origin}, s, now) {
				m.speeds = append(m.speeds, RemoteSpeed{server, s.origin, SpeedReport{s.slowness, max(now.Sub(s.at), 0)}})
			}
		}
	}
	slices.SortFunc(m.speeds, func(a, b RemoteSpeed) int {
		return cmp.Or(cmp.Compare(b.Slowness, a.Slowness), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Server, b.Server), cmp.Compare(a.Origin, b.Origin))
	})
	m.speeds = m.speeds[:min(len(m.speeds), maxSpeedRecords)]
	for _, r := range m.speeds {
		l.out.speeds[speedKey{r.Server, r.Origin}] = speed{origin: r.Origin, slowness: r.Slowness, at: now.Add(-r.Age)}
	}
	if len(m.speeds) > 0 {
		m.flags |= flagSpeeds
	}
}

// takeSpeeds handles the reports of a message about speeds of servers.
func (e *exchange) takeSpeeds(l *link, m *message, now time.Time) {
	var reports []RemoteSpeed
	for _, r := range m.speeds {
		// While links change, a report may return to its origin.
		if r.Origin != e.origin && r.Age < maxSpeedAge && e.speeds.add(r.Server, speed{r.Origin, r.Slowness, now.Add(-r.Age), l}) {
			reports = append(reports, r)
		}
	}
	if len(reports) > 0 {
		e.fleet.SetRemoteSpeeds(reports, now)
	}
}

func (m *message) appendSpeeds(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(m.speeds)))
	for _, s := range m.speeds {
		b = binary.BigEndian.AppendUint64(b, s.Server)
		b = binary.BigEndian.AppendUint16(b, s.Origin)
		b = binary.AppendVarint(b, int64(s.Slowness))
		b = binary.AppendUvarint(b, uint64(s.Age.Milliseconds()))
	}
	return b
}

func (r *reader) speeds(m *message) {
	for range r.count(12) {
		s := RemoteSpeed{Server: r.hash()}
		if b := r.bytes(2); b != nil {
			s.Origin = binary.BigEndian.Uint16(b)
		}
		s.Slowness = int16(max(math.MinInt16, min(math.MaxInt16, r.varint())))
		s.Age = time.Duration(min(r.uvarint(), uint64(maxSpeedAge.Milliseconds()))) * time.Millisecond
		m.speeds = append(m.speeds, s)
	}
}

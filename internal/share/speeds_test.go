package share

import (
	"fmt"
	"testing"
	"time"
)

// TestSpeedsReachAllVMs guards against reports about slow servers that some VMs with traffic
// learn of late or not at all, that lose their origin, so that two reports count as one, or
// that travel on without their origin.
func TestSpeedsReachAllVMs(t *testing.T) {
	const server = 7
	for _, vms := range []int{2, 27, 117} {
		s := newSim(t, vms)
		s.load(simRequestsPerVM, everyVM)
		s.advance(3 * time.Second)
		reporters := s.vms[:2]
		for _, v := range reporters {
			v.speeds = SpeedReports{server: {Slowness: 160, Age: 80 * time.Millisecond}}
		}
		began := s.now
		s.advance(600 * time.Millisecond)
		for _, v := range s.vms {
			for _, origin := range reporters {
				if v == origin {
					continue
				}
				at, ok := v.remoteSpeeds[speedKey{server, speedOrigin(origin.record.Name)}]
				if !ok || at.Before(began.Add(-80*time.Millisecond)) || at.After(s.now.Add(-80*time.Millisecond+30*time.Millisecond)) {
					t.Errorf("%d VMs: %s knows of %v from %s, reported at %v", vms, v.record.Name, at, origin.record.Name, began)
				}
			}
			if _, ok := v.remoteSpeeds[speedKey{server, v.exchange.origin}]; ok {
				t.Errorf("%d VMs: %s was told its own report", vms, v.record.Name)
			}
		}
		for _, v := range reporters {
			v.speeds = nil
		}
		s.advance(maxSpeedAge + 500*time.Millisecond)
		for _, v := range s.vms {
			clear(v.remoteSpeeds)
		}
		s.advance(3 * time.Second)
		for _, v := range s.vms {
			if len(v.remoteSpeeds) > 0 || len(v.exchange.speeds) > 0 {
				t.Fatalf("%d VMs: %s still gets or keeps reports 2.5 s after the last one", vms, v.record.Name)
			}
			for l := range v.exchange.links() {
				if len(l.out.speeds) > 0 {
					t.Fatalf("%d VMs: %s keeps what it sent to %s", vms, v.record.Name, l.vm.Name)
				}
			}
		}
	}
}

// TestSpeedsCostNothingWhileNoServerIsSlow guards against bytes and messages for a feature
// that is switched off, or that finds nothing.
func TestSpeedsCostNothingWhileNoServerIsSlow(t *testing.T) {
	var off traffic
	for _, speeds := range []SpeedReports{nil, {}} {
		s := newSim(t, 27)
		s.load(simRequestsPerVM, everyVM)
		for _, v := range s.vms {
			v.speeds = speeds
		}
		s.advance(3 * time.Second)
		got := s.measure(2 * time.Second)
		if speeds == nil {
			off = got
			continue
		}
		if got != off {
			t.Errorf("the VMs transfer %+v, %+v when switched off", got, off)
		}
	}
}

// TestSpeedsAreBounded guards against reports that fill messages or memory when all VMs find
// many servers slow, and against the server that is slowest being lost among them.
func TestSpeedsAreBounded(t *testing.T) {
	const vms, slowest = 27, 5000
	measure := func(reported int) (traffic, *sim) {
		s := newSim(t, vms)
		s.load(simRequestsPerVM, everyVM)
		s.advance(3 * time.Second)
		for i, v := range s.vms {
			v.speeds = SpeedReports{}
			for server := range reported {
				v.speeds[uint64(server)] = SpeedReport{Slowness: int16(70 + (server+i)%20), Age: 50 * time.Millisecond}
			}
		}
		s.advance(2 * time.Second)
		return s.measure(2 * time.Second), s
	}
	without, _ := measure(0)
	with, s := measure(400)
	t.Logf("median %.0f B/s without, %.0f B/s with 400 slow servers; busiest %.0f and %.0f", without.medianBytes, with.medianBytes, without.mostBytes, with.mostBytes)
	// A record has at most 8+2+2+2 bytes, and a count and a byte of flags are added.
	if most := without.mostBytes + without.mostMessages*(maxSpeedRecords*14+2); with.mostBytes > 1.05*most {
		t.Errorf("the busiest VM transfers %.0f B/s, want at most %.0f", with.mostBytes, most)
	}
	for _, v := range s.vms {
		if len(v.exchange.speeds) > maxSpeedServers {
			t.Errorf("%s keeps reports about %d servers", v.record.Name, len(v.exchange.speeds))
		}
		for server, list := range v.exchange.speeds {
			if len(list) > maxSpeedOrigins {
				t.Errorf("%s keeps %d reports about server %d", v.record.Name, len(list), server)
			}
		}
		for l := range v.exchange.links() {
			// At most 20 messages a second.
			if len(l.out.speeds) > 240 {
				t.Errorf("%s remembers %d reports sent to %s", v.record.Name, len(l.out.speeds), l.vm.Name)
			}
		}
	}
	for _, v := range s.vms {
		for server := range v.speeds {
			if server >= 60 {
				delete(v.speeds, server)
			}
		}
	}
	s.advance(maxSpeedAge + time.Second)
	for _, v := range s.vms[:2] {
		v.speeds[slowest] = SpeedReport{Slowness: 160, Age: 50 * time.Millisecond}
	}
	s.advance(800 * time.Millisecond)
	for _, v := range s.vms[2:] {
		for _, origin := range s.vms[:2] {
			if _, ok := v.remoteSpeeds[speedKey{slowest, origin.exchange.origin}]; !ok {
				t.Errorf("%s was not told of the slowest server by %s", v.record.Name, origin.record.Name)
			}
		}
	}
}

// TestSpeedsOfOrdinaryOperation guards against reports that cost more than the loads do where
// no server is slow: each VM then names about two servers, with objects that these have not
// handled lately.
func TestSpeedsOfOrdinaryOperation(t *testing.T) {
	const reportedFor, perSecond = 400 * time.Millisecond, 5
	for _, vms := range []int{27, 102} {
		var off traffic
		for _, on := range []bool{false, true} {
			s := newSim(t, vms)
			s.load(simRequestsPerVM, everyVM)
			s.advance(3 * time.Second)
			for _, v := range s.vms {
				var find func()
				find = func() {
					server := v.drawServer()
					v.speeds[server] = SpeedReport{Slowness: int16(60 + s.random.IntN(60))}
					s.after(reportedFor, func() { delete(v.speeds, server) })
					s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), find)
				}
				if v.speeds = (SpeedReports{}); on {
					find()
				}
			}
			s.advance(2 * time.Second)
			got := s.measure(4 * time.Second)
			if !on {
				off = got
				continue
			}
			t.Logf("%d VMs: median %.0f B/s, %.0f without reports; busiest %.0f, %.0f; between regions %.0f, %.0f", vms,
				got.medianBytes, off.medianBytes, got.mostBytes, off.mostBytes, got.regionBytes, off.regionBytes)
			if got.medianBytes > 4*off.medianBytes || got.mostBytes > 4*off.mostBytes {
				t.Errorf("%d VMs transfer %+v, %+v without reports", vms, got, off)
			}
		}
	}
}

// TestSpeedTable guards against reports that replace newer ones, or fill the table.
func TestSpeedTable(t *testing.T) {
	at := func(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }
	table := speedTable{}
	for _, tt := range []struct {
		origin uint16
		ms     int
		want   bool
	}{
		{1, 100, true},
		{1, 100, false},
		{1, 90, false},
		{2, 110, true},
		{3, 120, true},
		{4, 130, true},
		{5, 140, false},
		{1, 150, true},
		// The report of origin 2 is the oldest one.
		{5, 609, false},
		{5, 610, true},
		{2, 619, false},
		{2, 620, true},
	} {
		if got := table.add(7, speed{origin: tt.origin, at: at(tt.ms)}); got != tt.want {
			t.Errorf("origin %d at %d ms: got %t, want %t", tt.origin, tt.ms, got, tt.want)
		}
	}
	for server := range uint64(maxSpeedServers) {
		table.add(100+server, speed{origin: 1, at: at(700)})
	}
	if len(table) != maxSpeedServers || table.add(9999, speed{origin: 1, at: at(800)}) {
		t.Errorf("the table has %d servers and takes more", len(table))
	}
	table.forget(at(620).Add(maxSpeedAge))
	if _, ok := table[7]; ok || len(table) != maxSpeedServers-1 {
		t.Errorf("the table keeps %d servers, %v of the first", len(table), table[7])
	}
}

// TestSpeedsOnTheWire guards against figures that a message can't hold.
func TestSpeedsOnTheWire(t *testing.T) {
	for _, tt := range []struct{ sent, want SpeedReport }{
		{SpeedReport{-160, 80 * time.Millisecond}, SpeedReport{-160, 80 * time.Millisecond}},
		{SpeedReport{32767, 0}, SpeedReport{32767, 0}},
		{SpeedReport{-32768, time.Hour}, SpeedReport{-32768, maxSpeedAge}},
	} {
		m := message{flags: toChild | flagSpeeds, speeds: []RemoteSpeed{{1 << 63, 65535, tt.sent}}}
		got, err := decode(m.encode())
		want := RemoteSpeed{1 << 63, 65535, tt.want}
		if err != nil || len(got.speeds) != 1 || got.speeds[0] != want {
			t.Errorf("got %v, %v, want %v", fmt.Sprint(got.speeds), err, want)
		}
	}
}

// TestSpeedsDoNotReturn guards against reports that are sent back on the link that they were
// heard on, and those that a VM takes over from others although they are its own, as may
// happen while links change.
func TestSpeedsDoNotReturn(t *testing.T) {
	s := newSim(t, 9)
	s.load(simRequestsPerVM, everyVM)
	s.advance(time.Second)
	e := s.root("r0").exchange
	for from := range e.links() {
		clear(e.speeds)
		m := message{speeds: []RemoteSpeed{
			{7, e.origin + 1, SpeedReport{160, time.Millisecond}}, {8, e.origin, SpeedReport{160, time.Millisecond}},
		}}
		e.takeSpeeds(from, &m, s.now)
		if len(e.speeds[7]) != 1 || len(e.speeds[8]) > 0 {
			t.Errorf("took over %v, want the report of the other VM only", e.speeds)
		}
		for l := range e.links() {
			var sent message
			e.addSpeeds(l, &sent, s.now)
			want := 0
			if carries(l, from) {
				want = 1
			}
			if l == from && want != 0 || len(sent.speeds) != want {
				t.Errorf("a report from %s is sent %d times to %s, want %d", from.vm.Name, len(sent.speeds), l.vm.Name, want)
			}
			clear(l.out.speeds)
		}
	}
}

package membership

import (
	"math/rand"
	"testing"
	"time"

	"fuchsiaspar/internal/peer"
)

// FuzzMessages feeds arbitrary bodies to a Node as each kind of message. The
// Node must not panic and must keep itself in its view.
func FuzzMessages(f *testing.F) {
	record := Record{VM: "vm-0001", Zone: "zone-01", Epoch: 1, Incarnation: 7, Seq: 1, State: StateAlive}
	for _, body := range []any{
		Heartbeat{Epoch: 1, Incarnation: 7, Seq: 1, State: StateAlive, Reply: true},
		Probe{Target: "vm-0002", Reached: true},
		Delta{Records: []Record{record}, Digests: []ZoneDigest{{Zone: "zone-01"}}, Exchange: true},
		Delta{Summaries: []Summary{{Zone: "zone-00", Leader: "vm-0001", Seq: 3}}, Report: &Report{Incarnation: 7}},
	} {
		data, err := peer.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		now := time.Unix(1_000_000, 0)
		n := NewNode(NodeOptions{
			Self: Self{VM: "vm-0000", Zone: "zone-00", Incarnation: 5},
			Rand: rand.New(rand.NewSource(1)),
		}, now)
		n.Step(now, Tick{})
		n.Step(now, DeltaReceived{From: "vm-0001", Delta: Delta{Records: []Record{record}}})
		var (
			heartbeat Heartbeat
			probe     Probe
			delta     Delta
		)
		if peer.Unmarshal(data, &heartbeat) == nil {
			n.Step(now, HeartbeatReceived{From: "vm-0001", Heartbeat: heartbeat})
		}
		if peer.Unmarshal(data, &probe) == nil {
			n.Step(now, ProbeReceived{From: "vm-0001", Probe: probe})
		}
		if peer.Unmarshal(data, &delta) == nil {
			n.Step(now, DeltaReceived{From: "vm-0001", Delta: delta})
		}
		for range 20 {
			now = now.Add(100 * time.Millisecond)
			n.Step(now, Tick{})
		}
		if self, ok := n.buildView().Find("vm-0000"); !ok || self.Incarnation != 5 {
			t.Fatalf("the Node has a wrong record of itself: %+v", self)
		}
	})
}

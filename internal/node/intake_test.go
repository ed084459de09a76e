package node

import (
	"io"
	"net"
	"sync"
	"testing"

	"fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

// TestLinksDuringACrowd guards against clients that keep other VMs from establishing
// links by occupying the connections of the peer listener.
func TestLinksDuringACrowd(t *testing.T) {
	store := storetest.Start(t, 2)
	a := startNodeWith(t, platform.NodeLimits{MemoryMB: 284, MaxDescriptors: 600}, platform.Features{}, "vm-a", store)
	configure(store, 1, "one")
	eventually(t, "ready", a.Ready)
	// Several times as many as the listener may have with 600 descriptors.
	const crowd = 200
	stop := make(chan struct{})
	defer close(stop)
	var connected sync.WaitGroup
	connected.Add(crowd)
	for i := range crowd {
		go func() {
			first := sync.OnceFunc(connected.Done)
			defer first()
			for {
				c, err := net.Dial("tcp", a.settings.Listen.Peer)
				first()
				if err != nil {
					return
				}
				if i%2 == 0 {
					_, _ = io.WriteString(c, "GET /v1/peer HTTP/1.1\r\nHos")
				}
				// The VM sends nothing before it closes the connection.
				closed := make(chan struct{})
				go func() {
					_, _ = io.Copy(io.Discard, c)
					close(closed)
				}()
				select {
				case <-closed:
					c.Close()
				case <-stop:
					c.Close()
					return
				}
			}
		}()
	}
	connected.Wait()
	b := startNode(t, "vm-b", store, a.settings.Listen.Peer)
	for _, n := range []*Node{a, b} {
		eventually(t, "two VMs alive", func() bool { return len(n.liveness.Alive()) == 2 })
	}
}

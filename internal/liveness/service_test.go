package liveness

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer/peertest"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
)

// TestServicesKnowTheVMsOfAllRegions guards against messages between regions that the
// service does not send or that don't survive their encoding, and against a start at which
// VMs take each other for dead.
func TestServicesKnowTheVMsOfAllRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const vms = 12
		net := peertest.New(1)
		records := map[model.VMID]catalog.VM{}
		for i := range vms {
			record := vm(fmt.Sprintf("vm-%02d", i), 1)
			record.Region = model.Region(fmt.Sprint("r", i%3))
			records[record.Name] = record
		}
		var services []*Service
		for i := range vms {
			record := records[model.VMID(fmt.Sprintf("vm-%02d", i))]
			s := NewService(record, net.Join(record.Name), rand.New(rand.NewPCG(uint64(i), 1)), decisions.New(log.New(io.Discard), tally.NoopScope))
			if err := s.Start(context.Background()); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = s.Stop(context.Background()) })
			s.SetStoreRecords(records)
			services = append(services, s)
		}
		done := make(chan struct{})
		t.Cleanup(func() { close(done) })
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(10 * time.Millisecond):
					net.Deliver()
				}
			}
		}()
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			for i, s := range services {
				if got := len(s.Alive()); got != vms {
					t.Fatalf("vm-%02d considers %d VMs alive, want %d", i, got, vms)
				}
			}
		}
		services[4].Leave()
		if err := services[7].Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Second)
		for i, s := range services {
			if got := len(s.Alive()); got != vms-2 && i != 7 {
				t.Errorf("vm-%02d considers %d VMs alive after one has left and one has failed, want %d", i, got, vms-2)
			}
		}
	})
}

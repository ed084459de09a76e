package cli

import (
	"context"
	"io"
	"net"
	"os"
	"testing"

	"fuchsiaspar/internal/daemon"
	"fuchsiaspar/internal/platform/standin"
	"fuchsiaspar/internal/settings"

	"github.com/charmbracelet/log"
)

// startDaemon starts a complete entry VM in this process and returns its
// address.
func startDaemon(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	s := settings.Defaults()
	s.VM = settings.VM{Name: testVM, Zone: "lj-1", Region: "lj", Listen: address, Advertise: address}
	client := standin.New(standin.Options{}).Client(string(testVM))
	d, err := daemon.New(s, daemon.Deps{Store: client, VMs: client, Listener: listener, Logger: log.New(io.Discard)})
	if err != nil {
		t.Fatal(err)
	}
	if err := d.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Kill)
	return address
}

func TestRunbookCommandsOnADaemon(t *testing.T) {
	page, err := os.ReadFile("../../docs/RUNBOOK.md")
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("FUCHSIASPAR_SERVER", startDaemon(t))
	t.Chdir(t.TempDir())
	runPageCommands(t, string(page))
}

package cli

import (
	"bytes"
	"context"
	"math/rand"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/config"
	"fuchsiaspar/internal/explain"
	"fuchsiaspar/internal/membership"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/operator"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform/standin"

	goahttp "goa.design/goa/v3/http"
)

// testServer serves the operator API of an entry VM without peers. It also
// implements the API's data sources with fixed results.
type testServer struct {
	store   *standin.Store
	service *config.Service
	ring    *explain.Ring
	address string
}

const testVM model.VMID = "entry-lj-1"

func startServer(t *testing.T) *testServer {
	t.Helper()
	const ringSize = 100
	s := &testServer{store: standin.New(standin.Options{}), ring: explain.NewRing("entry-lj-1", ringSize)}
	s.service = config.NewService(config.ServiceOptions{
		Self:    testVM,
		Zone:    "lj-1",
		Store:   s.store.Client(string(testVM)),
		Links:   noLinks{},
		Rand:    rand.New(rand.NewSource(1)),
		Explain: s.ring,
	})
	if err := s.service.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	mux := goahttp.NewMuxer()
	operator.Mount(mux, operator.New(operator.Deps{
		Self: testVM, Config: s.service, Status: s, Drains: s, Explain: s, Lookup: s,
	}))
	server := httptest.NewServer(mux)
	s.address = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() {
		server.Close()
		_ = s.service.Stop(context.Background())
	})
	return s
}

func (s *testServer) Status(context.Context) ([]operator.VMStatus, error) {
	row := operator.VMStatus{Confirmed: true, Answered: true}
	row.VM = testVM
	row.State = membership.StateAlive
	row.Load = []membership.ServiceLoad{{Service: "lease-desk", Slots: 3, Busy: 1}}
	if current := s.service.Current(); current != nil {
		row.Revision = current.Revision()
	}
	return []operator.VMStatus{row}, nil
}

// Drains reports the target of every drain as empty.
func (s *testServer) Drains(context.Context) ([]operator.DrainProgress, error) {
	var progress []operator.DrainProgress
	for _, d := range s.service.Current().Document().Drains {
		progress = append(progress, operator.DrainProgress{ID: d.ID, Empty: true, Drained: time.Second})
	}
	return progress, nil
}

func (s *testServer) Explain(_ context.Context, f explain.Filter) ([]explain.Decision, error) {
	return s.ring.Find(f), nil
}

func (s *testServer) Lookup(_ context.Context, id model.AccountID, _ model.ServiceName, _ netip.Addr) (operator.Lookup, error) {
	account, ok := s.service.Current().Account(id)
	if !ok {
		return operator.Lookup{}, operator.ErrNotFound
	}
	return operator.Lookup{
		Entries: []operator.LookupEntry{{VM: testVM, Zone: "lj-1", Address: "127.0.0.1:1"}},
		TTL:     time.Second,
		Block:   account.Blocks[0].Prefix,
	}, nil
}

// noLinks implements peer.Links without any reachable peer.
type noLinks struct{}

func (noLinks) Handle(peer.Kind, peer.Handler)        {}
func (noLinks) HandleSlow(peer.Kind, peer.Handler)    {}
func (noLinks) Send(model.VMID, peer.Kind, any) error { return peer.ErrNoLink }
func (noLinks) SetAddress(model.VMID, string)         {}
func (noLinks) Drop(model.VMID)                       {}
func (noLinks) Call(context.Context, model.VMID, peer.Kind, any, any) error {
	return peer.ErrNoLink
}

// commandResult is the exit code and output of a command.
type commandResult struct {
	code           int
	stdout, stderr string
}

// run executes a fuchsiaspar command line in this process.
func run(args ...string) commandResult {
	var stdout, stderr bytes.Buffer
	root := New()
	root.Writer, root.ErrWriter = &stdout, &stderr
	root.Reader = strings.NewReader("")
	code := Run(context.Background(), root, append([]string{"fuchsiaspar"}, args...))
	return commandResult{code: code, stdout: stdout.String(), stderr: stderr.String()}
}

package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/routereport"
	"fuchsiaspar/platform"
	"fuchsiaspar/platform/storetest"
)

// eventually waits up to 10 s until holds returns true.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for range 1000 {
		if holds() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting: %s", what)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startNode runs an entry VM in region r against a store.
func startNode(t *testing.T, name string, store *storetest.Store, seeds ...string) *Node {
	t.Helper()
	return startNodeWith(t, platform.NodeLimits{MemoryMB: 284}, platform.Features{}, name, store, seeds...)
}

// startNodeWith is startNode with other resources and features of the VM.
func startNodeWith(t *testing.T, limits platform.NodeLimits, features platform.Features, name string, store *storetest.Store, seeds ...string) *Node {
	t.Helper()
	n, err := New(platform.NodeSettings{
		Features: features,
		Name:     model.VMID(name), Zone: "z", Region: "r", Regions: map[model.Zone]model.Region{"z": "r"},
		Listen: platform.Listen{
			Front: freeAddress(t), Ready: freeAddress(t), Directory: freeAddress(t), Peer: freeAddress(t),
			Metrics: freeAddress(t),
		},
		Seeds: seeds, Store: store.Address(), Limits: limits,
		Bounds: platform.Bounds{
			Grace: 3 * time.Second, RetryRatio: 0.2, RetrySlack: 60, ColdFactor: 1.5, ColdSlack: 5, MaxTTL: 5 * time.Second,
			AccountWindow: 5 * time.Second, AccountExcess: 0.1, AccountSlack: 20,
		},
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if err := n.kernel.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.kernel.Stop(context.Background()) })
	return n
}

// startBackend runs a backend server that answers with the name of its service
// after delay.
func startBackend(t *testing.T, store *storetest.Store, id, service string, delay time.Duration) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(delay)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSeal, "seal")
		_, _ = io.WriteString(w, service)
	}))
	t.Cleanup(server.Close)
	store.Put(platform.PrefixServers+id, fmt.Appendf(nil,
		`{"address":%q,"info":{"service":%q,"version":"v1","zone":"z","slots":3},"status":{"state":"ready","sequence":1,"cold_left_ms":0}}`,
		server.Listener.Addr().String(), service))
}

func configure(store *storetest.Store, version int, service string) {
	store.Put(platform.KeyConfig, fmt.Appendf(nil,
		`{"version":%d,"routes":{"r":{"host":"h","path_prefix":"/a/","kind":"idempotent","timeout_ms":2000,"service":%q,"max_attempts":2}},
		"services":{%q:{"health_path":"/health"}},"limits":{"max_body_bytes":1000}}`, version, service, service))
}

func get(address, path, host string) (int, string) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set(platform.HeaderRequestID, "id-1")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp.StatusCode, err.Error()
	}
	return resp.StatusCode, string(body)
}

func (n *Node) serves(want string) func() bool {
	return func() bool {
		status, body := get(n.settings.Listen.Front, "/a/x", "h")
		return status == http.StatusOK && body == want
	}
}

func (n *Node) resolvedAddresses() []string {
	_, body := get(n.settings.Listen.Directory, platform.PathResolve+"?name=h&region=r&zone=z", "x")
	var answer platform.ResolveResponse
	if json.Unmarshal([]byte(body), &answer) != nil {
		return nil
	}
	return answer.Addresses
}

func TestWholePath(t *testing.T) {
	store := storetest.Start(t, 2)
	n := startNode(t, "vm-a", store)
	ready := func() bool {
		status, _ := get(n.settings.Listen.Ready, platform.PathReady, "x")
		return status == http.StatusOK
	}
	if ready() {
		t.Error("ready without a configuration")
	}
	startBackend(t, store, "i-1", "one", 0)
	startBackend(t, store, "i-2", "two", 0)
	configure(store, 1, "one")
	eventually(t, "ready", ready)
	eventually(t, "served by the first service", n.serves("one"))
	configure(store, 2, "two")
	eventually(t, "served by the second service", n.serves("two"))
	eventually(t, "its own look-up returns it", func() bool { return len(n.resolvedAddresses()) == 1 })
	eventually(t, "a record in the store", func() bool { _, ok := store.Item(platform.PrefixVMs + "vm-a"); return ok })
	store.ExpireLeases()
	eventually(t, "a record after its lease expired", func() bool { _, ok := store.Item(platform.PrefixVMs + "vm-a"); return ok })
	if _, body := get(n.settings.Listen.Metrics, metricsPath, "x"); !strings.Contains(body, "store_calls") {
		t.Error("no metrics at the metrics address")
	}
}

// TestRouteIsExplainedOnTheMetricsListenerOnly guards against an explanation of the routing
// that clients can ask for, and against methods other than GET that reach the handler.
func TestRouteIsExplainedOnTheMetricsListenerOnly(t *testing.T) {
	store := storetest.Start(t, 2)
	n := startNode(t, "vm-a", store)
	startBackend(t, store, "i-1", "one", 0)
	configure(store, 1, "one")
	eventually(t, "served", n.serves("one"))
	const question = routereport.Path + "?host=h&path=/a/x"
	listen := n.settings.Listen
	for name, address := range map[string]string{
		"front": listen.Front, "readiness": listen.Ready, "directory": listen.Directory, "peer": listen.Peer,
	} {
		if status, body := get(address, question, "h"); status != http.StatusNotFound || strings.Contains(body, "i-1") {
			t.Errorf("%s: got %d, %s, want 404", name, status, body)
		}
	}
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions, http.MethodHead} {
		req, err := http.NewRequest(method, "http://"+listen.Metrics+question, nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusMethodNotAllowed || resp.Header.Get("Allow") != http.MethodGet {
			t.Errorf("%s: got %d, Allow %q, want 405 and GET", method, resp.StatusCode, resp.Header.Get("Allow"))
		}
	}
	if status, body := get(listen.Metrics, question, "x"); status != http.StatusOK || !strings.Contains(body, `"chosen":"i-1"`) {
		t.Errorf("metrics: got %d, %s", status, body)
	}
}

// TestCapacityIsLearnedWhereSwitchedOn guards against a setting that has no effect, and
// checks that the VM explains its routing where it serves its metrics.
func TestCapacityIsLearnedWhereSwitchedOn(t *testing.T) {
	for _, learn := range []bool{true, false} {
		store := storetest.Start(t, 2)
		n := startNodeWith(t, platform.NodeLimits{MemoryMB: 284}, platform.Features{LearnServerCapacity: &learn}, "vm-a", store)
		startBackend(t, store, "i-1", "one", 0)
		configure(store, 1, "one")
		eventually(t, "served", n.serves("one"))
		if _, body := get(n.settings.Listen.Metrics, routereport.Path+"?host=h&path=/a/x", "x"); !strings.Contains(body, `"chosen":"i-1"`) {
			t.Errorf("got %s, want the only server as chosen", body)
		}
		// The gauges of a service are updated in this order, but may be reported apart.
		shown := func(gauge string) func() bool {
			return func() bool {
				_, metrics := get(n.settings.Listen.Metrics, metricsPath, "x")
				return strings.Contains(metrics, gauge)
			}
		}
		speed := shown("fuchsiaspar_server_speed_median{")
		if learn {
			eventually(t, "a gauge of the speed", speed)
			continue
		}
		eventually(t, "a gauge of the servers", shown("fuchsiaspar_servers{"))
		time.Sleep(1500 * time.Millisecond)
		if speed() {
			t.Error("a gauge of the speed is shown though it is switched off")
		}
	}
}

func TestConfigurationReachesVMWithoutStore(t *testing.T) {
	store, away := storetest.Start(t, 100), storetest.Start(t, 100)
	away.SetFaults(storetest.Faults{RefuseStatus: http.StatusTooManyRequests})
	startBackend(t, store, "i-1", "one", 0)
	startBackend(t, store, "i-2", "two", 0)
	configure(store, 1, "one")
	a := startNode(t, "vm-a", store)
	eventually(t, "the first VM serves", a.serves("one"))
	b := startNode(t, "vm-b", away, a.settings.Listen.Peer)
	eventually(t, "the VM without the store serves", b.serves("one"))
	configure(store, 2, "two")
	eventually(t, "the change reaches it", b.serves("two"))
	eventually(t, "look-ups at both return both", func() bool { return len(a.resolvedAddresses()) == 2 && len(b.resolvedAddresses()) == 2 })
}

// TestRestoredStoreTakesNoConfigurationBack guards against a configuration that is not in
// force after the store went back to an older copy, and against an older one that returns.
func TestRestoredStoreTakesNoConfigurationBack(t *testing.T) {
	store := storetest.Start(t, 500)
	for _, service := range []string{"first", "second", "third"} {
		startBackend(t, store, "i-"+service, service, 0)
	}
	configure(store, 1, "first")
	backup := store.Backup()
	vms := []*Node{startNode(t, "vm-a", store), startNode(t, "vm-b", store)}
	configure(store, 2, "second")
	for range 20 {
		// So many revisions are given out again.
		store.Put(platform.PrefixServers+"i-other", []byte("no entry"))
	}
	for _, vm := range vms {
		eventually(t, "the second configuration is in force", vm.serves("second"))
	}
	store.Restore(backup)
	checkNever := func(d time.Duration, service string) {
		t.Helper()
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			for _, vm := range vms {
				if vm.serves(service)() {
					t.Fatalf("%s serves %q after the store was restored", vm.settings.Name, service)
				}
			}
		}
	}
	checkNever(time.Second, "first")
	configure(store, 2, "second")
	checkNever(500*time.Millisecond, "first")
	configure(store, 3, "third")
	for _, vm := range vms {
		eventually(t, "the third configuration is in force", vm.serves("third"))
	}
}

// TestOddEntriesOfOtherWriters guards against VMs that end, stop following the store, or
// send requests nowhere because of an odd entry among those of the servers.
func TestOddEntriesOfOtherWriters(t *testing.T) {
	store := storetest.Start(t, 500)
	const entry = `{"address":%s,"info":{"service":"one","version":"v1","zone":"z","slots":%s},"status":{"state":"ready","sequence":1,"cold_left_ms":%s},"born":%s}`
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	odd := []string{
		fmt.Sprintf(entry, `"127.0.0.1:70000"`, "3", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:99999999999999999999"`, "3", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:0"`, "1e300", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:1"`, "1e300", "0", "1"),
		fmt.Sprintf(entry, `"127.0.0.1:1"`, "3", "1e300", "1e300"),
		fmt.Sprintf(entry, nested, nested, nested, nested),
		nested, "\xff", "null", "",
	}
	put := func(at string) {
		for i, value := range odd {
			store.Put(platform.PrefixServers+fmt.Sprint("odd-", at, i), []byte(value))
		}
	}
	put("before")
	startBackend(t, store, "i-1", "one", 0)
	configure(store, 1, "one")
	n := startNode(t, "vm-a", store)
	eventually(t, "served beside odd entries", n.serves("one"))
	put("after")
	startBackend(t, store, "i-2", "two", 0)
	configure(store, 2, "two")
	eventually(t, "the change after odd entries is followed", n.serves("two"))
	configure(store, 3, "one")
	eventually(t, "the first service is back", n.serves("one"))
	for i := range 50 {
		if !n.serves("one")() {
			t.Fatalf("request %d was not served", i)
		}
	}
	if servers := n.state.Current().Servers["one"]; len(servers) != 1 {
		t.Errorf("%d servers of the first service are in use, want 1", len(servers))
	}
}

// TestFirstSnapshotCountsItsVMs guards against VMs that start together and each send a cold
// server what all of them may send it, before they count each other.
func TestFirstSnapshotCountsItsVMs(t *testing.T) {
	const vms, coldPerSecond = 7, 3.5
	var arrivals atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.Header().Set(platform.HeaderSeal, "seal")
	}))
	t.Cleanup(server.Close)
	store := storetest.Start(t, 500)
	store.Put(platform.PrefixServers+"i-1", fmt.Appendf(nil,
		`{"address":%q,"info":{"service":"one","version":"v1","zone":"z","slots":3},"status":{"state":"ready","sequence":1,"cold_left_ms":20000}}`,
		server.Listener.Addr().String()))
	store.Put(platform.KeyConfig, fmt.Appendf(nil,
		`{"version":1,"routes":{"r":{"host":"h","path_prefix":"/a/","kind":"idempotent","timeout_ms":2000,"service":"one","max_attempts":2}},
		"services":{"one":{"health_path":"/health","cold_start_s":20,"cold_per_s":%v}}}`, coldPerSecond))
	for i := range vms - 1 {
		name := fmt.Sprint("vm-", i)
		record, err := platform.EncodeVM(catalog.VM{Name: model.VMID(name), Zone: "z", Region: "r", Front: "127.0.0.1:1", Peer: "127.0.0.1:1"})
		if err != nil {
			t.Fatal(err)
		}
		store.Put(platform.PrefixVMs+name, record)
	}
	n := startNode(t, "vm-a", store)
	var clients sync.WaitGroup
	for range 2 * vms {
		clients.Go(func() {
			for end := time.Now().Add(time.Second); time.Now().Before(end); {
				get(n.settings.Listen.Front, "/a/x", "h")
			}
		})
	}
	clients.Wait()
	// The VM's share of 3.5 x 1.5 + 5 requests a second, summed over all VMs.
	if got, share := arrivals.Load(), int64(math.Ceil((coldPerSecond*1.5+5)/vms)); got > share {
		t.Errorf("a cold server got %d requests in the first second, want at most %d", got, share)
	}
}

func TestPlannedStopCutsNothing(t *testing.T) {
	store := storetest.Start(t, 100)
	startBackend(t, store, "i-1", "one", 600*time.Millisecond)
	configure(store, 1, "one")
	n, other := startNode(t, "vm-a", store), startNode(t, "vm-b", store)
	eventually(t, "served", n.serves("one"))
	eventually(t, "look-ups return both", func() bool { return len(other.resolvedAddresses()) == 2 })
	answers := make(chan string, 8)
	for range cap(answers) {
		go func() {
			status, body := get(n.settings.Listen.Front, "/a/x", "h")
			answers <- fmt.Sprint(status, body)
		}()
	}
	eventually(t, "requests in progress", func() bool { return n.front.ActiveRequests() == int64(cap(answers)) })
	stopped := make(chan error, 1)
	go func() { stopped <- n.shutdown(context.Background()) }()
	eventually(t, "not ready", func() bool {
		status, _ := get(n.settings.Listen.Ready, platform.PathReady, "x")
		return status != http.StatusOK
	})
	eventually(t, "look-ups no longer return it", func() bool { return len(other.resolvedAddresses()) == 1 })
	for range cap(answers) {
		if got := <-answers; got != "200one" {
			t.Errorf("got %q", got)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
	if _, ok := store.Item(platform.PrefixVMs + "vm-a"); ok {
		t.Error("the record remains in the store")
	}
}

// Guards against a planned stop that closes a connection on which pipelined requests run.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	store := storetest.Start(t, 100)
	startBackend(t, store, "i-1", "one", 600*time.Millisecond)
	configure(store, 1, "one")
	n := startNode(t, "vm-a", store)
	eventually(t, "served", n.serves("one"))
	conn, err := net.Dial("tcp", n.settings.Listen.Front)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	const requests = 3
	if _, err := io.WriteString(conn, strings.Repeat("GET /a/x HTTP/1.1\r\nHost: h\r\n"+platform.HeaderRequestID+": id-1\r\n\r\n", requests)); err != nil {
		t.Fatal(err)
	}
	eventually(t, "requests in progress", func() bool { return n.front.ActiveRequests() == requests })
	stopped := make(chan error, 1)
	go func() { stopped <- n.kernel.Stop(context.Background()) }()
	reader := bufio.NewReader(conn)
	for i := range requests {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || string(body) != "one" {
			t.Errorf("response %d: %q, %v", i, body, err)
		}
	}
	if err := <-stopped; err != nil {
		t.Errorf("stop: %v", err)
	}
}

func TestTheAddressOfTheFrontServesNothingElse(t *testing.T) {
	address := freeAddress(t)
	_, err := New(platform.NodeSettings{
		Name: "vm-0", Zone: "z", Region: "r",
		Listen: platform.Listen{Front: address, Ready: address, Directory: freeAddress(t), Peer: freeAddress(t)},
		Store:  "127.0.0.1:1", Bounds: platform.Bounds{Grace: time.Second},
	}, io.Discard)
	if err == nil || !strings.Contains(err.Error(), address) {
		t.Errorf("got %v, want an error that names %s", err, address)
	}
}

// TestAccountLimitHoldsOverTwoVMs guards against limits of client accounts that are not in
// effect, or that each VM applies for itself.
func TestAccountLimitHoldsOverTwoVMs(t *testing.T) {
	const vms, perSecond, burst, seconds = 2, 40, 20, 3
	store := storetest.Start(t, 500)
	startBackend(t, store, "i-1", "one", 0)
	store.Put(platform.KeyConfig, fmt.Appendf(nil,
		`{"version":1,"routes":{"r":{"host":"h","path_prefix":"/a/","kind":"idempotent","timeout_ms":2000,"service":"one","max_attempts":2}},
		"services":{"one":{"health_path":"/health"}},"tenants":{"t":{"api_keys":["k"],"rate_per_s":%d,"burst_size":%d}}}`, perSecond, burst))
	nodes := make([]*Node, vms)
	for i := range nodes {
		nodes[i] = startNode(t, fmt.Sprint("vm-", i), store)
	}
	send := func(n *Node) int {
		req, err := http.NewRequest(http.MethodGet, "http://"+n.settings.Listen.Front+"/a/x", nil)
		if err != nil {
			return 0
		}
		req.Host = "h"
		req.Header.Set(platform.HeaderRequestID, "id-1")
		req.Header.Set("Authorization", "Bearer k")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	for _, n := range nodes {
		eventually(t, "served within the limit", func() bool { return send(n) == http.StatusOK })
	}
	var served, denied atomic.Int64
	var clients sync.WaitGroup
	start := time.Now()
	for _, n := range nodes {
		for range 4 {
			clients.Go(func() {
				for time.Since(start) < seconds*time.Second {
					switch send(n) {
					case http.StatusOK:
						served.Add(1)
					case http.StatusTooManyRequests:
						denied.Add(1)
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
		}
	}
	clients.Wait()
	// The bound of a window of 5 s, of which the requests took less.
	if most := int64((5*perSecond+burst)*1.1 + 20); served.Load() > most || denied.Load() == 0 {
		t.Errorf("%d requests served and %d denied, want at most %d served", served.Load(), denied.Load(), most)
	}
}

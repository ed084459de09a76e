package main

import (
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"fuchsiaspar/internal/backend"
	"fuchsiaspar/platform/storetest"
)

const (
	// ownPathPrefix begins the paths of requests of the own interface.
	ownPathPrefix = "/v1/requests/"
	ownRoutePath  = ownPathPrefix + "desk/lookup?hold"
	// ownLimits are the limits of the VM under test in its settings file.
	ownLimits = "memory_mb = 96\nmax_descriptors = 512\n"
)

// ownDocument is configDocument for one VM.
const ownDocument = `
[lookup]
ttl = "500ms"

[[zones]]
name = "lj-a"
region = "lj"

[[slots]]
vm = "vm-0"
zone = "lj-a"

[[templates]]
name = "desk"
service = "desk"
places = ["lj-a"]
queue_limit = 1000
retry_percent = 20

[templates.server]
slots = 3
max_conns = 100
cold_start = "0s"

[templates.floors]
normal = 10
bulk = 5

[templates.shift_cap]
min = 0
max = 1000
default = 1000

[templates.weight]
min = 1
max = 1
default = 1

[[templates.classes]]
name = "lookup"
path_prefix = "/lookup"
priority = "urgent"
highest = "urgent"
lowest = "bulk"
idempotent = true
deadline = "20s"

[[accounts]]
id = "carrier"

[[accounts.services]]
template = "desk"

[[accounts.blocks]]
prefix = "127.0.0.0/8"
places = [{ zone = "lj-a", weight = 1 }]
`

// startOwnVM runs one daemon with the own interface and returns it as the VM of a crowd.
func startOwnVM(t *testing.T, daemon, cli string) (*crowdVM, *deployment) {
	t.Helper()
	d := &deployment{t: t, dir: t.TempDir(), daemon: daemon, cli: cli, store: storetest.Start(t, storePageSize), limits: ownLimits}
	d.startServer("desk-0", "lj-a")
	d.addresses = []string{ownLoopbackAddress(t)}
	vm := &crowdVM{t: t, exited: make(chan struct{}), addresses: map[string]string{"front": d.addresses[0], "ready": d.addresses[0]}}
	vm.start(d.command(0))
	path := filepath.Join(d.dir, "fleet.toml")
	if err := os.WriteFile(path, []byte(ownDocument), 0o600); err != nil {
		t.Fatal(err)
	}
	d.waitFor("the entry VM", func() bool { return d.countAlive() == 1 })
	d.runCLI("config", "apply", path)
	d.waitUntilServes(0)
	return vm, d
}

// TestUncontrolledClientsOfTheOwnInterface is TestUncontrolledClients for a process with
// the own interface. Its health is answered at the address of the requests.
func TestUncontrolledClientsOfTheOwnInterface(t *testing.T) {
	builder := &deployment{t: t, dir: t.TempDir()}
	daemon, cli := builder.build("fuchsiaspard"), builder.build("fuchsiaspar")
	const manyBodies, manyConnections = 450, 700
	paths := map[string]string{"route": ownRoutePath, "no_route": noRoutePath, "health": backend.HealthPath}
	for _, c := range []crowd{
		{name: "complete_bodies", size: manyBodies, member: completeBody},
		{name: "chunked_bodies", size: manyBodies, member: chunkedBody},
		{name: "bodies_short_of_their_end", size: manyBodies, member: shortBody(60 << 10)},
		{name: "many_fields", size: manyBodies, member: manyFields},
		{name: "requests_sent_ahead", size: manyBodies, member: requestsAhead},
		{name: "slow_headers", size: manyConnections, member: slowHeader},
		{name: "slow_bodies", size: manyConnections, member: slowBody},
		{name: "silent_connections", size: manyConnections, member: silent},
	} {
		for _, target := range []string{"route", "no_route", "health"} {
			c.role, c.path = "front", paths[target]
			t.Run(c.name+"/"+target, func(t *testing.T) {
				vm, d := startOwnVM(t, daemon, cli)
				disperse := vm.gather(c)
				vm.waitFor("health while the crowd is connected", func() bool {
					return vm.status("ready", backend.HealthPath) == http.StatusOK
				})
				time.Sleep(500 * time.Millisecond)
				disperse()
				vm.waitFor("an ordinary request after the crowd", func() bool { return d.serves(0) })
				vm.checkResources()
			})
		}
	}
}

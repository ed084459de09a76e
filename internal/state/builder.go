// Package state owns what this VM believes: it turns the copy of the store
// into an immutable snapshot that traffic reads.
package state

import (
	"strings"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/replica"
)

// lapseGrace is how long after the store's return the entry of a server may be
// missing before the server counts as gone.
const lapseGrace = 2200 * time.Millisecond

// Decoder turns the store's items into the project's types.
type Decoder struct {
	ConfigKey      string
	EvacuatePrefix string
	ServerPrefix   string
	VMPrefix       string

	Config func(value []byte) (*catalog.Config, error)
	Server func(key string, value []byte) (*catalog.Server, error)
	VM     func(value []byte) (catalog.VM, error)
}

// listed is a server with what the builder knows of it.
type listed struct {
	server *catalog.Server
	// until is when a server whose entry lapsed counts as gone; zero while the
	// entry exists.
	until time.Time
}

// Builder turns events into snapshots. Time is an argument; it is not safe for
// concurrent use.
type Builder struct {
	decode Decoder
	log    *decisions.Log

	config    *catalog.Config
	servers   map[model.ServerID]listed
	evacuated map[model.Zone]bool
	vms       map[model.VMID]catalog.VM
	seen      map[string]bool
	// configSince and serversSince are when the configuration and the list of
	// servers last changed.
	configSince, serversSince time.Time
}

// NewBuilder returns a Builder that knows nothing.
func NewBuilder(decode Decoder, log *decisions.Log) *Builder {
	return &Builder{
		decode:    decode,
		log:       log,
		servers:   map[model.ServerID]listed{},
		evacuated: map[model.Zone]bool{},
		vms:       map[model.VMID]catalog.VM{},
		seen:      map[string]bool{},
	}
}

// Outage is what is known of the store's last outage.
type Outage struct {
	// Cut says that the copy of the store is not current right now.
	Cut bool
	// ReturnedAt is when the store was last regained.
	ReturnedAt time.Time
}

// lapsedUntil returns until when a server whose entry vanished may still be
// used, or zero when it is gone at once.
func (o Outage) lapsedUntil(now time.Time) time.Time {
	if o.Cut {
		return now.Add(lapseGrace)
	}
	if until := o.ReturnedAt.Add(lapseGrace); until.After(now) {
		return until
	}
	return time.Time{}
}

// Apply takes in a batch. A full batch removes what it does not list.
func (b *Builder) Apply(batch replica.Batch, outage Outage, now time.Time) {
	if batch.Full {
		b.removeUnlisted(batch, outage, now)
	}
	for _, event := range batch.Events {
		b.apply(event, outage, now)
	}
}

func (b *Builder) removeUnlisted(batch replica.Batch, outage Outage, now time.Time) {
	listed := make(map[string]bool, len(batch.Events))
	for _, event := range batch.Events {
		listed[event.Key] = true
	}
	for key := range b.seen {
		if !listed[key] {
			b.apply(replica.Event{Key: key, Deleted: true, Revision: batch.To}, outage, now)
		}
	}
}

func (b *Builder) apply(event replica.Event, outage Outage, now time.Time) {
	if event.Deleted {
		delete(b.seen, event.Key)
	} else {
		b.seen[event.Key] = true
	}
	switch {
	case event.Key == b.decode.ConfigKey:
		b.applyConfig(event, now)
	case strings.HasPrefix(event.Key, b.decode.EvacuatePrefix):
		b.applyEvacuation(event)
	case strings.HasPrefix(event.Key, b.decode.ServerPrefix):
		b.serversSince = now
		b.applyServer(event, outage, now)
	case strings.HasPrefix(event.Key, b.decode.VMPrefix):
		b.applyVM(event)
	}
}

// applyConfig keeps the newest configuration. Without a readable newer one the
// last stays in force.
func (b *Builder) applyConfig(event replica.Event, now time.Time) {
	if event.Deleted {
		b.log.Error("configuration removed from the store; the last stays in force", "revision", event.Revision)
		return
	}
	config, err := b.decode.Config(event.Value)
	if err != nil {
		b.log.Error("configuration unreadable; the last stays in force", "revision", event.Revision, "cause", err)
		return
	}
	b.config, b.configSince = config, now
	b.log.Event("configuration in force", "version", config.Version, "revision", event.Revision, "routes", len(config.Routes))
}

func (b *Builder) applyEvacuation(event replica.Event) {
	zone := model.Zone(strings.TrimPrefix(event.Key, b.decode.EvacuatePrefix))
	if event.Deleted {
		delete(b.evacuated, zone)
		b.log.Event("zone taken back", "zone", zone, "revision", event.Revision)
		return
	}
	if !b.evacuated[zone] {
		b.log.Event("zone evacuated", "zone", zone, "revision", event.Revision)
	}
	b.evacuated[zone] = true
}

func (b *Builder) applyServer(event replica.Event, outage Outage, now time.Time) {
	id := model.ServerID(strings.TrimPrefix(event.Key, b.decode.ServerPrefix))
	if event.Deleted {
		b.serverGone(id, event, outage, now)
		return
	}
	server, err := b.decode.Server(event.Key, event.Value)
	if err != nil {
		delete(b.servers, id)
		b.log.Event("server entry unusable", "server", id, "revision", event.Revision, "cause", err)
		return
	}
	before, known := b.servers[id]
	b.servers[id] = listed{server: server}
	if !known || before.server.Draining != server.Draining || before.server.Started != server.Started {
		b.log.Event("server listed", "server", id, "service", server.Service, "zone", server.Zone,
			"draining", server.Draining, "cold", server.ColdRemaining, "revision", event.Revision)
	}
}

func (b *Builder) serverGone(id model.ServerID, event replica.Event, outage Outage, now time.Time) {
	entry, known := b.servers[id]
	if !known {
		return
	}
	until := outage.lapsedUntil(now)
	if until.IsZero() || entry.server.Draining {
		delete(b.servers, id)
		b.log.Event("server gone", "server", id, "revision", event.Revision)
		return
	}
	entry.until = until
	b.servers[id] = entry
	b.log.Event("server entry lapsed while the store was away", "server", id, "revision", event.Revision, "until", until.Sub(now))
}

func (b *Builder) applyVM(event replica.Event) {
	name := model.VMID(strings.TrimPrefix(event.Key, b.decode.VMPrefix))
	if event.Deleted {
		delete(b.vms, name)
		return
	}
	vm, err := b.decode.VM(event.Value)
	if err != nil || vm.Name != name {
		b.log.Event("record of a VM unusable", "peer", name, "revision", event.Revision, "cause", err)
		return
	}
	b.vms[name] = vm
}

// Expire drops servers whose entry did not come back. It reports whether any
// was dropped. While the copy is cut off, nothing can come back.
func (b *Builder) Expire(outage Outage, now time.Time) bool {
	dropped := false
	for id, entry := range b.servers {
		if entry.until.IsZero() {
			continue
		}
		if outage.Cut {
			entry.until = now.Add(lapseGrace)
			b.servers[id] = entry
			continue
		}
		if now.After(entry.until) {
			delete(b.servers, id)
			dropped, b.serversSince = true, now
			b.log.Event("server gone", "server", id, "cause", "its entry did not come back")
		}
	}
	return dropped
}

// Snapshot returns what is known, complete up to revision.
func (b *Builder) Snapshot(revision uint64) *catalog.Snapshot {
	servers := make([]*catalog.Server, 0, len(b.servers))
	for _, entry := range b.servers {
		servers = append(servers, entry.server)
	}
	evacuated := make(map[model.Zone]bool, len(b.evacuated))
	for zone := range b.evacuated {
		evacuated[zone] = true
	}
	vms := make(map[model.VMID]catalog.VM, len(b.vms))
	for name, vm := range b.vms {
		vms[name] = vm
	}
	snapshot := catalog.NewSnapshot(revision, b.config, servers, evacuated, vms)
	snapshot.ConfigSince, snapshot.ServersSince = b.configSince, b.serversSince
	return snapshot
}

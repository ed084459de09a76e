// Package state turns the replica of the store into immutable snapshots. One
// goroutine applies the changes; request handling reads the current snapshot
// without locks.
package state

import (
	"strings"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/replica"
)

// missingEntryGrace is how long after the store recovers from an outage the
// entry of a server may be missing before the server is removed. Leases expire
// during an outage, so entries vanish although their servers are running.
const missingEntryGrace = 2200 * time.Millisecond

const (
	// returnHold is how long a server that had left gets no requests after its entry
	// came back with a restored store: the entries of servers that are gone lapse after
	// three heartbeats, 4.5 s.
	returnHold = 5 * time.Second
	// departureMemory is how long it is remembered that a server left. Copies from
	// which a store is restored are some seconds old.
	departureMemory = time.Minute
)

// Decoder defines the keys of the store's items and decodes their values.
type Decoder struct {
	// ConfigKey is the key of the configuration. The prefixes are followed by the
	// name of a zone, server or VM.
	ConfigKey      string
	EvacuatePrefix string
	ServerPrefix   string
	VMPrefix       string

	Config func(value []byte) (*catalog.Config, error)
	Server func(key string, value []byte) (*catalog.Server, error)
	VM     func(value []byte) (catalog.VM, error)
}

// serverEntry is a server and the state of its store entry.
type serverEntry struct {
	server *catalog.Server
	// expiresAt is when a server whose entry vanished is removed; zero while the
	// entry exists.
	expiresAt time.Time
	// heldUntil is when a server that had left may get requests again; zero if it had
	// not left.
	heldUntil time.Time
}

// departure records that a server process left.
type departure struct {
	started int64
	at      time.Time
}

// Builder turns events into snapshots. The current time is always passed in. A
// Builder is not safe for concurrent use.
type Builder struct {
	decoder Decoder
	log     *decisions.Log

	config  *catalog.Config
	servers map[model.ServerID]serverEntry
	// departed holds the servers that left lately.
	departed map[model.ServerID]departure
	// evacuated holds the evacuated zones, each with the time at which a zone whose
	// evacuation vanished from the store is taken back; zero while it is there.
	evacuated map[model.Zone]time.Time
	vms       map[model.VMID]catalog.VM
	// knownKeys holds the keys of all items, to find those a full batch lacks.
	knownKeys map[string]bool
	// configUpdatedAt and serversUpdatedAt are when the configuration and the
	// server entries last changed; zero means never.
	configUpdatedAt, serversUpdatedAt time.Time
}

// NewBuilder returns an empty Builder.
func NewBuilder(decode Decoder, log *decisions.Log) *Builder {
	return &Builder{
		decoder:   decode,
		log:       log,
		servers:   map[model.ServerID]serverEntry{},
		departed:  map[model.ServerID]departure{},
		evacuated: map[model.Zone]time.Time{},
		vms:       map[model.VMID]catalog.VM{},
		knownKeys: map[string]bool{},
	}
}

// Outage describes the last outage of the store.
type Outage struct {
	// Disconnected reports that the replica of the store is stale now.
	Disconnected bool
	// RecoveredAt is when the store last became reachable again; zero means never.
	RecoveredAt time.Time
	// RestoredAt is when the replica last went over to a store that had been restored
	// from an older copy; zero means never.
	RestoredAt time.Time
}

// graceDeadline returns until when a server whose entry vanished at now may be
// used, or zero if it is to be removed at once.
func (o Outage) graceDeadline(now time.Time) time.Time {
	if o.Disconnected {
		return now.Add(missingEntryGrace)
	}
	if deadline := o.RecoveredAt.Add(missingEntryGrace); deadline.After(now) {
		return deadline
	}
	return time.Time{}
}

// bringsBack reports whether entries that appear at now may be those of the copy from
// which the store was restored.
func (o Outage) bringsBack(now time.Time) bool {
	return !o.RestoredAt.IsZero() && now.Sub(o.RestoredAt) < missingEntryGrace
}

// Apply applies a batch. Items that a full batch lacks are removed.
func (b *Builder) Apply(batch replica.Batch, outage Outage, now time.Time) {
	if batch.Full {
		b.removeUnlisted(batch, outage, now)
	}
	for _, event := range batch.Events {
		b.applyEvent(event, outage, now)
	}
}

// removeUnlisted removes what a full batch lacks. After an outage its writer may not have
// written it again yet.
func (b *Builder) removeUnlisted(batch replica.Batch, outage Outage, now time.Time) {
	listedKeys := make(map[string]bool, len(batch.Events))
	for _, event := range batch.Events {
		listedKeys[event.Key] = true
	}
	for key := range b.knownKeys {
		if listedKeys[key] {
			continue
		}
		zone, isEvacuation := strings.CutPrefix(key, b.decoder.EvacuatePrefix)
		if deadline := outage.graceDeadline(now); isEvacuation && !deadline.IsZero() {
			delete(b.knownKeys, key)
			b.evacuated[model.Zone(zone)] = deadline
			b.log.Event("evacuation vanished while the store was away", "zone", zone, "revision", batch.To, "until", deadline.Sub(now))
			continue
		}
		b.applyEvent(replica.Event{Key: key, Deleted: true, Revision: batch.To}, outage, now)
	}
}

func (b *Builder) applyEvent(event replica.Event, outage Outage, now time.Time) {
	if event.Deleted {
		delete(b.knownKeys, event.Key)
	} else {
		b.knownKeys[event.Key] = true
	}
	switch {
	case event.Key == b.decoder.ConfigKey:
		b.applyConfig(event, now)
	case strings.HasPrefix(event.Key, b.decoder.EvacuatePrefix):
		b.applyEvacuation(event)
	case strings.HasPrefix(event.Key, b.decoder.ServerPrefix):
		b.serversUpdatedAt = now
		b.applyServer(event, outage, now)
	case strings.HasPrefix(event.Key, b.decoder.VMPrefix):
		b.applyVM(event)
	}
}

// applyConfig replaces the configuration. If the new one is deleted or invalid,
// the last valid one stays in force.
func (b *Builder) applyConfig(event replica.Event, now time.Time) {
	if event.Deleted {
		b.log.Error("configuration deleted from the store; keeping the last valid one", "revision", event.Revision)
		return
	}
	config, err := b.decoder.Config(event.Value)
	if err != nil {
		b.log.Error("invalid configuration; keeping the last valid one", "revision", event.Revision, "cause", err)
		return
	}
	b.config, b.configUpdatedAt = config, now
	b.log.Event("configuration in force", "version", config.Version, "revision", event.Revision, "routes", len(config.Routes))
	for _, route := range config.Routes {
		if route.Kind == catalog.UnknownKind {
			b.log.Error("route of an unknown kind; its requests run at most once", "version", config.Version, "route", route.Name)
		}
	}
}

func (b *Builder) applyEvacuation(event replica.Event) {
	zone := model.Zone(strings.TrimPrefix(event.Key, b.decoder.EvacuatePrefix))
	_, evacuated := b.evacuated[zone]
	if event.Deleted {
		if evacuated {
			b.log.Event("zone taken back", "zone", zone, "revision", event.Revision)
		}
		delete(b.evacuated, zone)
		return
	}
	if !evacuated {
		b.log.Event("zone evacuated", "zone", zone, "revision", event.Revision)
	}
	b.evacuated[zone] = time.Time{}
}

func (b *Builder) applyServer(event replica.Event, outage Outage, now time.Time) {
	id := model.ServerID(strings.TrimPrefix(event.Key, b.decoder.ServerPrefix))
	if event.Deleted {
		b.handleServerDeletion(id, event, outage, now)
		return
	}
	server, err := b.decoder.Server(event.Key, event.Value)
	if err != nil {
		delete(b.servers, id)
		b.log.Event("server entry unusable", "server", id, "revision", event.Revision, "cause", err)
		return
	}
	previous, known := b.servers[id]
	b.servers[id] = serverEntry{server: server, heldUntil: b.holdUntil(server, event, outage, now)}
	if !known || previous.server.Draining != server.Draining || previous.server.Started != server.Started {
		b.log.Event("server listed", "server", id, "service", server.Service, "zone", server.Zone,
			"draining", server.Draining, "cold", server.ColdRemaining, "revision", event.Revision)
	}
}

// holdUntil returns until when a listed server gets no requests because this process of
// it had left; zero if it may get them.
func (b *Builder) holdUntil(server *catalog.Server, event replica.Event, outage Outage, now time.Time) time.Time {
	previous, known := b.servers[server.ID]
	if known && previous.server.Started == server.Started {
		return previous.heldUntil
	}
	left, ok := b.departed[server.ID]
	if known || !ok || left.started != server.Started || !outage.bringsBack(now) {
		return time.Time{}
	}
	b.log.Event("server that had left is listed again", "server", server.ID, "revision", event.Revision, "held", returnHold)
	return now.Add(returnHold)
}

// removeServer removes a server that left.
func (b *Builder) removeServer(id model.ServerID, now time.Time) {
	b.departed[id] = departure{started: b.servers[id].server.Started, at: now}
	delete(b.servers, id)
}

// handleServerDeletion removes a server whose entry was deleted. During an
// outage and shortly after one it keeps the server for a grace period, unless
// the server is draining.
func (b *Builder) handleServerDeletion(id model.ServerID, event replica.Event, outage Outage, now time.Time) {
	entry, known := b.servers[id]
	if !known {
		return
	}
	deadline := outage.graceDeadline(now)
	if deadline.IsZero() || entry.server.Draining {
		b.removeServer(id, now)
		b.log.Event("server gone", "server", id, "revision", event.Revision)
		return
	}
	entry.expiresAt = deadline
	b.servers[id] = entry
	b.log.Event("server entry lapsed while the store was away", "server", id, "revision", event.Revision, "until", deadline.Sub(now))
}

func (b *Builder) applyVM(event replica.Event) {
	name := model.VMID(strings.TrimPrefix(event.Key, b.decoder.VMPrefix))
	if event.Deleted {
		delete(b.vms, name)
		return
	}
	vm, err := b.decoder.VM(event.Value)
	if err != nil || vm.Name != name {
		b.log.Event("invalid VM record", "peer", name, "revision", event.Revision, "cause", err)
		return
	}
	b.vms[name] = vm
}

// Expire removes the servers and the evacuations whose entries did not reappear in
// time, and releases the servers that were held. It reports whether it changed anything.
// While the replica is disconnected, entries cannot reappear, so the grace period starts
// over.
func (b *Builder) Expire(outage Outage, now time.Time) bool {
	for id, left := range b.departed {
		if now.Sub(left.at) > departureMemory {
			delete(b.departed, id)
		}
	}
	evacuationsChanged := b.expireEvacuations(outage, now)
	return b.expireServers(outage, now) || evacuationsChanged
}

func (b *Builder) expireServers(outage Outage, now time.Time) bool {
	changed := false
	for id, entry := range b.servers {
		if !entry.heldUntil.IsZero() && now.After(entry.heldUntil) {
			entry.heldUntil = time.Time{}
			b.servers[id] = entry
			changed, b.serversUpdatedAt = true, now
			b.log.Event("server released", "server", id, "cause", "its entry has not lapsed")
		}
		if entry.expiresAt.IsZero() {
			continue
		}
		if outage.Disconnected {
			entry.expiresAt = now.Add(missingEntryGrace)
			b.servers[id] = entry
			continue
		}
		if now.After(entry.expiresAt) {
			b.removeServer(id, now)
			changed, b.serversUpdatedAt = true, now
			b.log.Event("server gone", "server", id, "cause", "entry did not reappear")
		}
	}
	return changed
}

func (b *Builder) expireEvacuations(outage Outage, now time.Time) bool {
	removed := false
	for zone, expiresAt := range b.evacuated {
		switch {
		case expiresAt.IsZero():
		case outage.Disconnected:
			b.evacuated[zone] = now.Add(missingEntryGrace)
		case now.After(expiresAt):
			delete(b.evacuated, zone)
			removed = true
			b.log.Event("zone taken back", "zone", zone, "cause", "evacuation did not reappear")
		}
	}
	return removed
}

// Snapshot returns the current state as a snapshot with the given revision.
func (b *Builder) Snapshot(revision uint64) *catalog.Snapshot {
	servers := make([]*catalog.Server, 0, len(b.servers))
	for _, entry := range b.servers {
		if entry.heldUntil.IsZero() {
			servers = append(servers, entry.server)
		}
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
	snapshot.ConfigUpdatedAt, snapshot.ServersUpdatedAt = b.configUpdatedAt, b.serversUpdatedAt
	return snapshot
}

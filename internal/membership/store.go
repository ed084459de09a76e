package membership

import (
	"context"
	"strings"
	"time"

	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/platform"

	"github.com/pkg/errors"
)

// Keys of the store.
const (
	keyPrefix    = "member/"
	recordSuffix = "/record"
	leaderSuffix = "/leader"
)

// platformTimeout bounds one action towards the platform.
const platformTimeout = 3 * time.Second

// errBadRecord reports a zone's record that cannot be read.
var errBadRecord = errors.New("membership: malformed zone record")

func recordKey(zone model.Zone) string { return keyPrefix + string(zone) + recordSuffix }

func leaderKey(zone model.Zone) string { return keyPrefix + string(zone) + leaderSuffix }

// callPlatform runs an action on a goroutine and posts its result.
func (s *Service) callPlatform(action Action) {
	var call func(context.Context) Event
	switch a := action.(type) {
	case ReadZoneRecords:
		call = func(ctx context.Context) Event { return s.readZoneRecords(ctx, a.Zone) }
	case WriteZoneRecord:
		call = func(ctx context.Context) Event { return s.writeZoneRecord(ctx, a) }
	case ReadVMList:
		call = s.readVMList
	case AcquireLease:
		call = func(ctx context.Context) Event { return s.acquireLease(ctx, a.Zone) }
	case RenewLease:
		call = func(ctx context.Context) Event { return s.renewLease(ctx, a.Lease) }
	case ReleaseLease:
		call = func(ctx context.Context) Event { return s.releaseLease(ctx, a.Lease) }
	default:
		return
	}
	s.group.Go(func(ctx context.Context) {
		timed, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		if e := call(timed); e != nil {
			s.postResult(ctx, e)
		}
	})
}

func (s *Service) postResult(ctx context.Context, e Event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// count notes the result of one call and returns its error.
func (s *Service) count(call string, err error) error {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrConflict):
		result = "conflict"
	case errors.Is(err, platform.ErrNotFound):
		result = "not_found"
	case errors.Is(err, platform.ErrRateLimited):
		result = "rate_limited"
	case errors.Is(err, platform.ErrTooLarge):
		result = "too_large"
	default:
		result = "unavailable"
	}
	s.metrics.callEnded(call, result)
	return err
}

// readZoneRecords reads one zone's record, or all records for an empty zone.
func (s *Service) readZoneRecords(ctx context.Context, zone model.Zone) Event {
	entries, err := s.readEntries(ctx, zone)
	if err != nil {
		return ZoneRecordsRead{Zone: zone, Failed: true}
	}
	read := ZoneRecordsRead{Zone: zone}
	for _, entry := range entries {
		stored, err := decodeRecord(entry)
		if err != nil {
			s.opts.Logger.Warn("zone record ignored", "key", entry.Key, "cause", err)
			continue
		}
		read.Records = append(read.Records, stored)
	}
	return read
}

func (s *Service) readEntries(ctx context.Context, zone model.Zone) ([]platform.Entry, error) {
	if zone == "" {
		entries, err := s.opts.Store.List(ctx, keyPrefix)
		return records(entries), s.count("list_records", err)
	}
	entry, err := s.opts.Store.Get(ctx, recordKey(zone))
	if errors.Is(s.count("get_record", err), platform.ErrNotFound) {
		return nil, nil
	}
	return []platform.Entry{entry}, err
}

// records keeps the entries that are zone records.
func records(entries []platform.Entry) []platform.Entry {
	var kept []platform.Entry
	for _, e := range entries {
		if strings.HasSuffix(e.Key, recordSuffix) {
			kept = append(kept, e)
		}
	}
	return kept
}

func decodeRecord(entry platform.Entry) (StoredZone, error) {
	zone := strings.TrimSuffix(strings.TrimPrefix(entry.Key, keyPrefix), recordSuffix)
	stored := StoredZone{Zone: model.Zone(zone), Version: entry.Version}
	if err := peer.Unmarshal(entry.Value, &stored.Members); err != nil {
		return StoredZone{Zone: stored.Zone, Version: entry.Version}, errors.Wrap(errBadRecord, err.Error())
	}
	return stored, nil
}

func (s *Service) writeZoneRecord(ctx context.Context, a WriteZoneRecord) Event {
	value, err := peer.Marshal(a.Members)
	if err != nil {
		s.opts.Logger.Error("zone record not encoded", "zone", a.Zone, "cause", err)
		return ZoneRecordWritten{}
	}
	version, err := s.opts.Store.Put(ctx, recordKey(a.Zone), value, a.Expect, 0)
	if s.count("put_record", err) != nil {
		return ZoneRecordWritten{}
	}
	return ZoneRecordWritten{Version: version}
}

func (s *Service) readVMList(ctx context.Context) Event {
	vms, err := s.opts.VMs.VMs(ctx)
	return VMListRead{VMs: vms, Failed: s.count("list_vms", err) != nil}
}

// acquireLease creates a lease and puts the zone's leader key under it. The
// key's absence is what makes this VM the only writer.
func (s *Service) acquireLease(ctx context.Context, zone model.Zone) Event {
	lease, err := s.opts.Store.Grant(ctx, s.pace.LeaseTTL)
	if s.count("grant", err) != nil {
		return LeaseFailed{}
	}
	_, err = s.opts.Store.Put(ctx, leaderKey(zone), []byte(s.opts.Self.VM), 0, lease)
	if s.count("put_leader", err) != nil {
		s.releaseLease(ctx, lease)
		return LeaseFailed{}
	}
	return LeaseAcquired{Lease: lease}
}

func (s *Service) renewLease(ctx context.Context, lease platform.LeaseID) Event {
	err := s.count("keep_alive", s.opts.Store.KeepAlive(ctx, lease))
	switch {
	case err == nil:
		return LeaseRenewed{}
	case errors.Is(err, platform.ErrNotFound):
		return LeaseLost{}
	default:
		return LeaseFailed{}
	}
}

// releaseLease gives a lease up. One that stays behind lapses by itself.
func (s *Service) releaseLease(ctx context.Context, lease platform.LeaseID) Event {
	s.count("revoke", s.opts.Store.Revoke(ctx, lease))
	return nil
}

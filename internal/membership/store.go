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

// Store keys have the form member/ZONE/record and member/ZONE/leader.
const (
	keyPrefix    = "member/"
	recordSuffix = "/record"
	leaderSuffix = "/leader"
)

// platformTimeout bounds the execution of one platform action.
const platformTimeout = 3 * time.Second

// errBadRecord is returned for a zone record that cannot be decoded.
var errBadRecord = errors.New("membership: malformed zone record")

func recordKey(zone model.Zone) string { return keyPrefix + string(zone) + recordSuffix }

func leaderKey(zone model.Zone) string { return keyPrefix + string(zone) + leaderSuffix }

// callPlatform runs an action on a goroutine and queues its result as an
// event.
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
			s.enqueueResult(ctx, e)
		}
	})
}

func (s *Service) enqueueResult(ctx context.Context, e Event) {
	select {
	case s.events <- e:
	case <-ctx.Done():
	}
}

// countResult counts the result of one call and returns err unchanged.
func (s *Service) countResult(call string, err error) error {
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
	s.metrics.countCall(call, result)
	return err
}

// readZoneRecords reads one zone's record, or all records if zone is empty.
func (s *Service) readZoneRecords(ctx context.Context, zone model.Zone) Event {
	entries, err := s.readEntries(ctx, zone)
	if err != nil {
		return ZoneRecordsRead{Zone: zone, Failed: true}
	}
	read := ZoneRecordsRead{Zone: zone}
	for _, entry := range entries {
		stored, err := decodeZoneRecord(entry)
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
		return filterZoneRecords(entries), s.countResult("list_records", err)
	}
	entry, err := s.opts.Store.Get(ctx, recordKey(zone))
	if errors.Is(s.countResult("get_record", err), platform.ErrNotFound) {
		return nil, nil
	}
	return []platform.Entry{entry}, err
}

// filterZoneRecords returns the entries that are zone records.
func filterZoneRecords(entries []platform.Entry) []platform.Entry {
	var kept []platform.Entry
	for _, e := range entries {
		if strings.HasSuffix(e.Key, recordSuffix) {
			kept = append(kept, e)
		}
	}
	return kept
}

func decodeZoneRecord(entry platform.Entry) (StoredZone, error) {
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
		s.opts.Logger.Error("encoding of zone record failed", "zone", a.Zone, "cause", err)
		return ZoneRecordWritten{}
	}
	version, err := s.opts.Store.Put(ctx, recordKey(a.Zone), value, a.Expect, 0)
	if s.countResult("put_record", err) != nil {
		return ZoneRecordWritten{}
	}
	return ZoneRecordWritten{Version: version}
}

func (s *Service) readVMList(ctx context.Context) Event {
	vms, err := s.opts.VMs.VMs(ctx)
	return VMListRead{VMs: vms, Failed: s.countResult("list_vms", err) != nil}
}

// acquireLease creates a lease and writes the zone's leader key under it. The
// write succeeds only if the key does not exist, so only one VM becomes the
// writer.
func (s *Service) acquireLease(ctx context.Context, zone model.Zone) Event {
	lease, err := s.opts.Store.Grant(ctx, s.intervals.LeaseTTL)
	if s.countResult("grant", err) != nil {
		return LeaseFailed{}
	}
	_, err = s.opts.Store.Put(ctx, leaderKey(zone), []byte(s.opts.Self.VM), 0, lease)
	if s.countResult("put_leader", err) != nil {
		s.releaseLease(ctx, lease)
		return LeaseFailed{}
	}
	return LeaseAcquired{Lease: lease}
}

func (s *Service) renewLease(ctx context.Context, lease platform.LeaseID) Event {
	err := s.countResult("keep_alive", s.opts.Store.KeepAlive(ctx, lease))
	switch {
	case err == nil:
		return LeaseRenewed{}
	case errors.Is(err, platform.ErrNotFound):
		return LeaseLost{}
	default:
		return LeaseFailed{}
	}
}

// releaseLease revokes a lease. If that fails, the lease expires by itself.
func (s *Service) releaseLease(ctx context.Context, lease platform.LeaseID) Event {
	s.countResult("revoke", s.opts.Store.Revoke(ctx, lease))
	return nil
}

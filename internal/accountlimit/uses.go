package accountlimit

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"time"

	"fuchsiaspar/internal/model"

	"github.com/pkg/errors"
)

const (
	// reportRetention is how long after its last use an account is reported, so that a
	// lost report is made up for.
	reportRetention = 2 * time.Second
	// repeatEvery is the number of reports after which unchanged counts are sent again.
	repeatEvery = 10
	// baselineTime is how long after the first report of a source an account that it
	// names for the first time may have been in use before. It covers repeatEvery reports.
	baselineTime = 1300 * time.Millisecond
	// activeRetention is how long after its last use at any VM an account is visited
	// periodically. All estimates have decayed by then.
	activeRetention = 6 * time.Second
	// keyBytes is the length of an account's key. With 40 bits, two of 10,000 accounts
	// share a key with a probability of 1 in 20,000; they would debit each other.
	keyBytes = 5
	// processBytes is the length of the process number at the start of a report.
	processBytes = 4
)

// ErrReport reports that a report of another VM can't be decoded.
var ErrReport = errors.New("accountlimit: invalid report")

// Uses is an encoded report of a VM's requests: the number of its process, then for each
// account its key and its counts as varints. Counts are cumulative within a process, so
// that a lost report does no harm.
type Uses []byte

// accountKey identifies an account in reports.
type accountKey uint64

func keyOf(id model.AccountID) accountKey {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(id))
	return accountKey(h.Sum64() & (1<<(8*keyBytes) - 1))
}

// use is what a report says about one account.
type use struct {
	key accountKey
	// used and refused are the requests since the process began. run is the part of used
	// in the current run of requests, for receivers that did not know the account.
	used, refused, run uint64
}

func appendUse(b []byte, u use) []byte {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], uint64(u.key))
	b = append(b, key[:keyBytes]...)
	b = binary.AppendUvarint(b, u.used)
	b = binary.AppendUvarint(b, u.run)
	return binary.AppendUvarint(b, u.refused)
}

// nextUse decodes the first account of b and returns the rest.
func nextUse(b []byte) (u use, rest []byte, err error) {
	if len(b) < keyBytes {
		return use{}, nil, ErrReport
	}
	var key [8]byte
	copy(key[:], b[:keyBytes])
	u.key = accountKey(binary.LittleEndian.Uint64(key[:]))
	b = b[keyBytes:]
	for _, field := range []*uint64{&u.used, &u.run, &u.refused} {
		value, n := binary.Uvarint(b)
		if n <= 0 || value > math.MaxInt64 {
			return use{}, nil, ErrReport
		}
		*field, b = value, b[n:]
	}
	return u, b, nil
}

// Uses returns the report to send to the other VMs, nil if no account has a limit. It
// also updates the state that follows from time, and is called for every report.
func (l *Limiter) Uses(now time.Time) Uses {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.accounts) == 0 {
		return nil
	}
	l.detectSuspension(now)
	var elapsed time.Duration
	if !l.lastTick.IsZero() {
		elapsed = max(now.Sub(l.lastTick), 0)
	}
	l.lastTick, l.lastWall = now, now.Round(0)
	l.rounds++
	l.handleSilence(elapsed, now)
	fresh := l.freshFraction(now)
	report := binary.LittleEndian.AppendUint32(make([]byte, 0, 64), l.opts.Process)
	kept := l.active[:0]
	for _, a := range l.active {
		if a.removed || now.Sub(a.lastUse) > activeRetention && now.Sub(a.lastRemote) > activeRetention {
			a.active = false
			continue
		}
		kept = append(kept, a)
		a.updateShare(l, elapsed, fresh, now)
		if a.isDue(l.rounds, now) {
			report = appendUse(report, use{key: a.key, used: a.used, refused: a.refused, run: a.used - a.runUsed})
			a.reportedUsed, a.reportedRefused = a.used, a.refused
		}
	}
	clear(l.active[len(kept):])
	l.active = kept
	return report
}

// isDue reports whether the next report contains the account.
func (a *account) isDue(round uint64, now time.Time) bool {
	if now.Sub(a.lastUse) >= reportRetention {
		a.runUsed = a.used
		return false
	}
	return a.used != a.reportedUsed || a.refused != a.reportedRefused || (round+uint64(a.key))%repeatEvery == 0
}

// SetRemoteUses applies a report of another VM. An empty one says that the VM can be heard.
func (l *Limiter) SetRemoteUses(vm model.VMID, uses Uses, now time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(uses) < processBytes {
		return ErrReport
	}
	process := binary.LittleEndian.Uint32(uses)
	s, known := l.sources[vm]
	if !known {
		s = &source{vm: vm}
		l.sources[vm] = s
		l.ordered = append(l.ordered, s)
	}
	begins := !known || s.silent || s.process != process || now.Sub(s.lastHeard) >= silenceTimeout
	if begins {
		l.sessions++
		s.process, s.session, s.silent, s.begunAt = process, l.sessions, false, now
	}
	s.lastHeard, s.lost = now, false
	for rest := []byte(uses[processBytes:]); len(rest) > 0; {
		var u use
		var err error
		if u, rest, err = nextUse(rest); err != nil {
			return err
		}
		if a, limited := l.byKey[u.key]; limited {
			a.applyRemote(l, vm, s.session, now.Sub(s.begunAt) < baselineTime, u, now)
		}
	}
	return nil
}

// applyRemote debits the requests of another VM since its last report. The first report
// of an account is only the baseline if the session has just begun: the account may have
// been in use for long.
func (a *account) applyRemote(l *Limiter, vm model.VMID, session uint64, begins bool, u use, now time.Time) {
	r, known := a.remote[vm]
	same := known && r.session == session
	if !known {
		if a.remote == nil {
			a.remote = map[model.VMID]*remoteUse{}
		}
		r = &remoteUse{vm: vm}
		a.remote[vm] = r
		a.ordered = append(a.ordered, r)
	}
	var used, refused uint64
	switch {
	case same:
		// Reports may overtake each other.
		used, refused = u.used-min(u.used, r.used), u.refused-min(u.refused, r.refused)
	case begins:
		r.rate, r.useRate, r.at = 0, 0, now
	default:
		used, r.rate, r.useRate, r.at = u.run, 0, 0, now
	}
	if !same {
		r.session, r.used, r.refused = session, u.used, u.refused
	} else {
		r.used, r.refused = max(r.used, u.used), max(r.refused, u.refused)
	}
	l.activate(a, now)
	a.advance(l, now)
	a.lastRemote = now
	if same {
		// What was assumed while the VM was not heard is contained in the report.
		a.spend(float64(used)-r.assumed, now)
	} else {
		a.spend(float64(used), now)
	}
	r.assumed = 0
	decay := math.Exp(-max(now.Sub(r.at), 0).Seconds() / a.limit.memory)
	r.rate = r.rate*decay + float64(used+refused)/a.limit.memory
	r.useRate = r.useRate*decay + float64(used)/a.limit.memory
	r.at = now
}

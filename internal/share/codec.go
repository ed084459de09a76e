package share

import (
	"encoding/binary"
	"math"
	"time"

	"fuchsiaspar/internal/replica"

	"github.com/pkg/errors"
)

// errMalformed reports a message that can't be decoded.
var errMalformed = errors.New("share: malformed message")

// Direction of a message, as seen by its sender.
const (
	toParent = iota
	toChild
	toRegion
	directionMask = 3
)

// Flags of a message, beside its direction. The first ones are frequent and take one byte.
const (
	flagLoads = 4 << iota
	flagPosition
	flagCounters
	// flagQuiet marks a sender that has no traffic and wants no loads.
	flagQuiet
	flagReports
	// flagReset marks a message that holds the whole state of its stream.
	flagReset
	// flagWantReset asks the receiver for a message with flagReset.
	flagWantReset
	// flagBye marks the last message of a stream.
	flagBye
	flagSource
	// flagProbe marks a question whether the receiver is back, which says nothing else, or
	// the answer.
	flagProbe
	// flagSpeeds marks a message with reports about the speeds of servers.
	flagSpeeds
)

// message is the decoded form of a message. A stream of messages from one VM to
// another assigns small numbers to servers and counters in the order in which it first
// names them.
type message struct {
	flags uint64
	// stream identifies the stream among those of the sender, with flagReset only, and
	// sequence numbers its messages from the number of the stream plus one.
	stream, sequence uint64
	// era and revisionChange give the position relative to the previous message.
	era            uint64
	revisionChange int64
	// source is the VM that has the position, empty for the sender.
	source string
	// newServers are the hashes of servers that get the next numbers.
	newServers []uint64
	loads      []numbered
	newKeys    []CounterKey
	counters   []numbered
	statements []statementRecord
	leaving    []leavingRecord
	speeds     []RemoteSpeed
}

// numbered is the value of a server or counter by its number in the stream.
type numbered struct{ number, value uint64 }

type statementRecord struct {
	server    uint64
	limited   bool
	perSecond float64
	age       time.Duration
}

type leavingRecord struct {
	server  uint64
	started int64
}

func (m *message) has(flag uint64) bool { return m.flags&flag != 0 }

func (m *message) direction() uint64 { return m.flags & directionMask }

func (m *message) encode() []byte {
	b := make([]byte, 0, 160)
	b = binary.AppendUvarint(b, m.flags)
	if m.has(flagReset) {
		b = binary.AppendUvarint(b, m.stream)
	}
	b = binary.AppendUvarint(b, m.sequence%sequenceModulus)
	if m.has(flagPosition) {
		b = binary.AppendVarint(b, m.revisionChange)
	}
	if m.has(flagSource) {
		b = binary.AppendUvarint(b, m.era)
		b = binary.AppendUvarint(b, uint64(len(m.source)))
		b = append(b, m.source...)
	}
	if m.has(flagLoads) {
		b = binary.AppendUvarint(b, uint64(len(m.newServers)))
		for _, hash := range m.newServers {
			b = binary.BigEndian.AppendUint64(b, hash)
		}
		b = appendLoads(b, m.loads)
	}
	if m.has(flagCounters) {
		b = binary.AppendUvarint(b, uint64(len(m.newKeys)))
		for _, key := range m.newKeys {
			b = binary.BigEndian.AppendUint64(append(b, key.Group), key.Hash)
		}
		b = binary.AppendUvarint(b, uint64(len(m.counters)))
		next := uint64(0)
		for _, c := range m.counters {
			b = binary.AppendUvarint(b, c.number-next)
			b = binary.AppendUvarint(b, c.value)
			next = c.number + 1
		}
	}
	if m.has(flagReports) {
		b = m.appendReports(b)
	}
	if m.has(flagSpeeds) {
		b = m.appendSpeeds(b)
	}
	return b
}

// inlineValue is the first value of a load that does not fit beside its number.
const inlineValue = 7

// maxLoad bounds the load of a server that a message may state.
const maxLoad = 1 << 20

// appendLoads packs a load into one byte where its number is within 16 of the previous
// one and the value is below inlineValue.
func appendLoads(b []byte, loads []numbered) []byte {
	b = binary.AppendUvarint(b, uint64(len(loads)))
	next := uint64(0)
	for _, load := range loads {
		b = binary.AppendUvarint(b, (load.number-next)<<3|min(load.value, inlineValue))
		if load.value >= inlineValue {
			b = binary.AppendUvarint(b, load.value-inlineValue)
		}
		next = load.number + 1
	}
	return b
}

func (m *message) appendReports(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(len(m.statements)))
	for _, s := range m.statements {
		b = binary.BigEndian.AppendUint64(b, s.server)
		limited := byte(0)
		if s.limited {
			limited = 1
		}
		b = binary.BigEndian.AppendUint64(append(b, limited), math.Float64bits(s.perSecond))
		b = binary.AppendUvarint(b, uint64(s.age.Microseconds()))
	}
	b = binary.AppendUvarint(b, uint64(len(m.leaving)))
	for _, l := range m.leaving {
		b = binary.BigEndian.AppendUint64(b, l.server)
		b = binary.AppendVarint(b, l.started)
	}
	return b
}

// reader decodes a message. After the first error all reads return zero.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) bytes(n uint64) []byte {
	if r.failed || uint64(len(r.data)) < n {
		r.failed = true
		return nil
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.data)
	if r.failed || n <= 0 {
		r.failed = true
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *reader) byte() byte {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) hash() uint64 {
	if b := r.bytes(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

// count reads the number of elements of at least size bytes each. It fails if the
// message is too short for them.
func (r *reader) count(size int) int {
	n := r.uvarint()
	if n > uint64(len(r.data)/size) {
		r.failed = true
		return 0
	}
	return int(n)
}

// advance returns next plus gap, and fails where numbers exceed what a stream assigns.
func (r *reader) advance(next, gap uint64) uint64 {
	if gap > math.MaxInt32 || next > math.MaxInt32 {
		r.failed = true
		return 0
	}
	return next + gap
}

func decode(data []byte) (message, error) {
	r := reader{data: data}
	m := message{flags: r.uvarint()}
	if m.has(flagReset) {
		m.stream = r.uvarint()
	}
	m.sequence = r.uvarint()
	if m.has(flagPosition) {
		m.revisionChange = r.varint()
	}
	if m.has(flagSource) {
		m.era = r.uvarint()
		m.source = string(r.bytes(r.uvarint()))
	}
	if m.has(flagLoads) {
		r.loads(&m)
	}
	if m.has(flagCounters) {
		r.counters(&m)
	}
	if m.has(flagReports) {
		r.reports(&m)
	}
	if m.has(flagSpeeds) {
		r.speeds(&m)
	}
	if r.failed || len(r.data) > 0 {
		return message{}, errMalformed
	}
	return m, nil
}

func (r *reader) loads(m *message) {
	for range r.count(8) {
		m.newServers = append(m.newServers, r.hash())
	}
	next := uint64(0)
	for range r.count(1) {
		packed := r.uvarint()
		load := numbered{number: r.advance(next, packed>>3), value: packed & inlineValue}
		if load.value == inlineValue {
			load.value += min(r.uvarint(), maxLoad)
		}
		m.loads = append(m.loads, load)
		next = load.number + 1
	}
}

func (r *reader) counters(m *message) {
	for range r.count(9) {
		m.newKeys = append(m.newKeys, CounterKey{Group: r.byte(), Hash: r.hash()})
	}
	next := uint64(0)
	for range r.count(2) {
		c := numbered{number: r.advance(next, r.uvarint()), value: r.uvarint()}
		m.counters = append(m.counters, c)
		next = c.number + 1
	}
}

func (r *reader) reports(m *message) {
	for range r.count(18) {
		m.statements = append(m.statements, statementRecord{
			server: r.hash(), limited: r.byte() == 1, perSecond: math.Float64frombits(r.hash()),
			age: time.Duration(min(r.uvarint(), uint64(maxStatementAge.Microseconds()))) * time.Microsecond,
		})
	}
	for range r.count(9) {
		m.leaving = append(m.leaving, leavingRecord{server: r.hash(), started: r.varint()})
	}
}

// position returns the position of a message whose stream was at previous.
func (m *message) position(previous replica.Position) replica.Position {
	if m.has(flagSource) {
		previous.Era = m.era
	}
	previous.Revision += uint64(m.revisionChange)
	return previous
}

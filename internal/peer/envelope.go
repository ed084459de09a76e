package peer

import (
	"fuchsiaspar/internal/model"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// protocolVersion increases with every incompatible change of the protocol. A link
// between different versions is refused.
const protocolVersion = 1

// MaxMessageBytes bounds the encoded size of one message in either direction.
const MaxMessageBytes = 1 << 20

// Bounds on the structure of a decoded message.
const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 16
)

// errMalformed reports a message that is not a valid envelope or hello.
var errMalformed = errors.New("peer: malformed message")

// frameType is the purpose of an envelope.
type frameType uint8

const (
	frameOneWay frameType = iota + 1
	frameRequest
	frameReply
	frameNoHandler
	frameFailure
)

// envelope is one message on a link. ID matches a reply to its request and is zero
// in one-way messages; Kind is zero in replies.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Type frameType
	ID   uint64
	Kind Kind
	Body cbor.RawMessage
}

// hello is the first message in each direction of a link.
type hello struct {
	_           struct{} `cbor:",toarray"`
	Version     uint64
	VM          model.VMID
	Incarnation model.Incarnation
}

var (
	encoder  = mustEncoder()
	decoder  = mustDecoder()
	cborNull = cbor.RawMessage{0xf6}
)

func mustEncoder() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxMapPairs,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes a message body as deterministic CBOR, as links do.
func Marshal(body any) ([]byte, error) { return encoder.Marshal(body) }

// Unmarshal decodes a message body. It rejects what links reject: duplicate map
// keys, indefinite lengths, tags and bodies over the structural bounds.
func Unmarshal(data []byte, body any) error { return decoder.Unmarshal(data, body) }

func encodeEnvelope(e envelope) ([]byte, error) {
	if len(e.Body) == 0 {
		e.Body = cborNull
	}
	return encoder.Marshal(e)
}

func decodeEnvelope(data []byte) (envelope, error) {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return envelope{}, errors.Wrap(errMalformed, err.Error())
	}
	if e.Type < frameOneWay || e.Type > frameFailure {
		return envelope{}, errors.Wrapf(errMalformed, "frame type %d", e.Type)
	}
	return e, nil
}

func decodeHello(data []byte) (hello, error) {
	var h hello
	if err := decoder.Unmarshal(data, &h); err != nil {
		return hello{}, errors.Wrap(errMalformed, err.Error())
	}
	if h.Version != protocolVersion {
		return hello{}, errors.Wrapf(errMalformed, "protocol version %d, want %d", h.Version, protocolVersion)
	}
	if h.VM == "" || h.Incarnation == 0 {
		return hello{}, errors.Wrap(errMalformed, "hello without VM or incarnation")
	}
	return h, nil
}

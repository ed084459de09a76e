package config

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// cborEnc and cborDec encode and decode stored objects and peer messages. The
// encoding is deterministic: equal values give equal bytes.
var cborEnc, cborDec = newCBORModes()

func newCBORModes() (cbor.EncMode, cbor.DecMode) {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	opts.NilContainers = cbor.NilContainerAsEmpty
	enc, err := opts.EncMode()
	if err != nil {
		panic(err) // the options above are constants
	}
	dec, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements: 1 << 24,
	}.DecMode()
	if err != nil {
		panic(err) // the options above are constants
	}
	return enc, dec
}

// decodeCBOR decodes data into v.
func decodeCBOR(data []byte, v any) error {
	if err := cborDec.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

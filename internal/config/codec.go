package config

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// encoding writes objects and peer messages; equal values give equal bytes.
var encoding, decoding = codecs()

func codecs() (cbor.EncMode, cbor.DecMode) {
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

// decode decodes CBOR into v.
func decode(data []byte, v any) error {
	if err := decoding.Unmarshal(data, v); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

package feed

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/replica"

	"github.com/pkg/errors"
)

const (
	// compressionThreshold is the encoded size in bytes from which a batch is
	// compressed. A smaller one fits into a single packet uncompressed.
	compressionThreshold = 1 << 10
	// maxDecodedBytes bounds the size of a decompressed batch. It holds the items
	// of the largest planned deployment.
	maxDecodedBytes = 16 << 20
)

// errInvalidBatch reports a batch that cannot be decompressed or decoded.
var errInvalidBatch = errors.New("feed: invalid batch")

// encodedBatch is a batch as sent to followers: CBOR in Data, compressed if
// Deflate is set.
type encodedBatch struct {
	Data    []byte `cbor:"1,keyasint"`
	Deflate bool   `cbor:"2,keyasint,omitempty"`
}

// encodeBatch encodes batch and compresses it from compressionThreshold on.
func encodeBatch(batch replica.Batch) (encodedBatch, error) {
	data, err := peer.Marshal(batch)
	if err != nil || len(data) < compressionThreshold {
		return encodedBatch{Data: data}, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return encodedBatch{}, err
	}
	if _, err := w.Write(data); err != nil {
		return encodedBatch{}, err
	}
	if err := w.Close(); err != nil {
		return encodedBatch{}, err
	}
	return encodedBatch{Data: out.Bytes(), Deflate: true}, nil
}

// decode returns the batch, or an error that wraps errInvalidBatch.
func (p encodedBatch) decode() (replica.Batch, error) {
	data := p.Data
	if p.Deflate {
		var err error
		if data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxDecodedBytes)); err != nil {
			return replica.Batch{}, errors.WithMessage(errInvalidBatch, err.Error())
		}
	}
	var batch replica.Batch
	if err := peer.Unmarshal(data, &batch); err != nil {
		return replica.Batch{}, errors.WithMessage(errInvalidBatch, err.Error())
	}
	return batch, nil
}

// batchCache keeps the last encoded batch, since most followers ask for the
// same events. It is safe for concurrent use.
type batchCache struct {
	copy *replica.Replica

	mu        sync.Mutex
	after, to replica.Position
	encoded   encodedBatch
}

// batchSince returns the encoded events after a position.
func (p *batchCache) batchSince(after replica.Position) (encodedBatch, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.to.IsZero() && p.after == after && p.to == p.copy.Position() {
		return p.encoded, nil
	}
	batch := p.copy.Since(after)
	out, err := encodeBatch(batch)
	if err != nil {
		return encodedBatch{}, err
	}
	p.after, p.to, p.encoded = after, batch.Position(), out
	return out, nil
}

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
	// packAbove is the size from which a batch is compressed: less fits into one
	// packet as it is.
	packAbove = 1 << 10
	// maxBatchBytes bounds what a compressed batch may grow to: the items of the
	// largest planned deployment.
	maxBatchBytes = 16 << 20
)

// errPacked reports a batch that can't be read.
var errPacked = errors.New("feed: unreadable batch")

// packed is a batch as it goes to followers.
type packed struct {
	Data    []byte `cbor:"1,keyasint"`
	Deflate bool   `cbor:"2,keyasint,omitempty"`
}

func pack(batch replica.Batch) (packed, error) {
	data, err := peer.Marshal(batch)
	if err != nil || len(data) < packAbove {
		return packed{Data: data}, err
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return packed{}, err
	}
	if _, err := w.Write(data); err != nil {
		return packed{}, err
	}
	if err := w.Close(); err != nil {
		return packed{}, err
	}
	return packed{Data: out.Bytes(), Deflate: true}, nil
}

func (p packed) unpack() (replica.Batch, error) {
	data := p.Data
	if p.Deflate {
		var err error
		if data, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Data)), maxBatchBytes)); err != nil {
			return replica.Batch{}, errors.WithMessage(errPacked, err.Error())
		}
	}
	var batch replica.Batch
	if err := peer.Unmarshal(data, &batch); err != nil {
		return replica.Batch{}, errors.WithMessage(errPacked, err.Error())
	}
	return batch, nil
}

// packer keeps the last batch, since most followers lack the same events. It is
// safe for concurrent use.
type packer struct {
	copy *replica.Replica

	mu        sync.Mutex
	after, to uint64
	last      packed
}

// since returns what a copy at revision after lacks.
func (p *packer) since(after uint64) (packed, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.to != 0 && p.after == after && p.to == p.copy.Revision() {
		return p.last, nil
	}
	batch := p.copy.Since(after)
	out, err := pack(batch)
	if err != nil {
		return packed{}, err
	}
	p.after, p.to, p.last = after, batch.To, out
	return out, nil
}

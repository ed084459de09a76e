package feed

import (
	"fmt"
	"reflect"
	"testing"

	"fuchsiaspar/internal/replica"

	"github.com/pkg/errors"
)

// serverEntries returns a batch of count server entries.
func serverEntries(count int) replica.Batch {
	batch := replica.Batch{To: uint64(count)}
	for i := range count {
		batch.Events = append(batch.Events, replica.Event{
			Key: fmt.Sprint("servers/i-", i), Revision: uint64(i + 1),
			Value: fmt.Appendf(nil, `{"address":"10.0.0.%d:80","info":{"service":"desk","zone":"lj-a","slots":3}}`, i%250),
		})
	}
	return batch
}

func TestBatchesAreEncodedAndDecoded(t *testing.T) {
	for _, count := range []int{0, 1, 2000} {
		batch := serverEntries(count)
		p, err := encodeBatch(batch)
		if err != nil {
			t.Fatal(err)
		}
		if p.Deflate != (count > 1) || len(p.Data) > 40*count+compressionThreshold {
			t.Errorf("%d entries take %d bytes, compressed %v", count, len(p.Data), p.Deflate)
		}
		got, err := p.decode()
		if err != nil || !reflect.DeepEqual(got, batch) {
			t.Errorf("%d entries: got %d up to %d, %v", count, len(got.Events), got.To, err)
		}
	}
}

func TestInvalidBatches(t *testing.T) {
	whole, err := encodeBatch(serverEntries(2000))
	if err != nil {
		t.Fatal(err)
	}
	for desc, p := range map[string]encodedBatch{
		"truncated":      {Data: whole.Data[:len(whole.Data)/2], Deflate: true},
		"not compressed": {Data: []byte("arbitrary text"), Deflate: true},
		"no batch":       {Data: []byte{0xff}},
	} {
		if _, err := p.decode(); !errors.Is(err, errInvalidBatch) {
			t.Errorf("%s: got %v, want %v", desc, err, errInvalidBatch)
		}
	}
}

func TestFollowersOfOneRevisionShareABatch(t *testing.T) {
	p := batchCache{copy: replica.New(nil)}
	p.copy.Apply(replica.Batch{Full: true, To: 1})
	p.copy.Apply(serverEntries(2000))
	first, err := p.batchSince(replica.Position{Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	again, err := p.batchSince(replica.Position{Revision: 1})
	if err != nil || &first.Data[0] != &again.Data[0] {
		t.Errorf("encoded again: %v", err)
	}
	p.copy.Apply(replica.Batch{To: 2001, Events: []replica.Event{{Key: "op/config", Revision: 2001}}})
	later, err := p.batchSince(replica.Position{Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	if batch, err := later.decode(); err != nil || batch.To != 2001 {
		t.Errorf("got up to %d, %v; want 2001", batch.To, err)
	}
	if batch, err := p.batchSince(replica.Position{Revision: 2000}); err != nil || batch.Deflate {
		t.Errorf("a single event is compressed: %v", err)
	}
}

package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"fuchsiaspar/internal/background"
	"fuchsiaspar/internal/decisions"
	"fuchsiaspar/internal/liveness"
	"fuchsiaspar/internal/peer"
	"fuchsiaspar/internal/replica"
)

const (
	// seedPath answers a process that starts and knows no other.
	seedPath = "/v1/seed"
	// seedTimeout bounds a call to a seed.
	seedTimeout = time.Second
	// seedPause is the wait before the seeds are asked again.
	seedPause = 700 * time.Millisecond
	// maxSeedBytes bounds a seed's answer: the items of the largest planned
	// deployment.
	maxSeedBytes = 16 << 20
)

// seedAnswer is what a running VM tells one that starts.
type seedAnswer struct {
	Rows  []liveness.Row `cbor:"1,keyasint"`
	Batch replica.Batch  `cbor:"2,keyasint"`
}

type seedHandler struct {
	copy *replica.Replica
	live *liveness.Service
}

// ServeHTTP implements http.Handler.
func (h *seedHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	data, err := peer.Marshal(seedAnswer{Rows: h.live.Rows(), Batch: h.copy.Since(0)})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	// The asking process asks again when the answer is cut.
	_, _ = w.Write(data)
}

// seeds asks the VMs named in the settings until one has told its state or the
// store has.
type seeds struct {
	addresses []string
	self      string
	copy      *replica.Replica
	live      *liveness.Service
	log       *decisions.Log
	http      *http.Client
	group     background.Group
}

func newSeeds(b *assembly) *seeds {
	return &seeds{
		addresses: b.settings.Seeds, self: b.settings.Listen.Peer, copy: b.copy, live: b.node.live,
		log: b.node.log, http: &http.Client{Timeout: seedTimeout},
	}
}

// Start begins to ask.
func (s *seeds) Start(ctx context.Context) error {
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.run)
	return nil
}

// Stop ends the asking.
func (s *seeds) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *seeds) run(ctx context.Context) {
	for background.Sleep(ctx, seedPause) && s.copy.Revision() == 0 {
		for _, address := range s.addresses {
			if address != s.self {
				s.ask(ctx, address)
			}
		}
	}
}

func (s *seeds) ask(ctx context.Context, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+seedPath, nil)
	if err != nil {
		s.log.Error("seed address unusable", "address", address, "cause", err)
		return
	}
	resp, err := s.http.Do(req)
	if err != nil {
		s.log.Event("seed does not answer", "address", address, "cause", err)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSeedBytes))
	var answer seedAnswer
	if err == nil {
		err = peer.Unmarshal(data, &answer)
	}
	if err != nil {
		s.log.Event("seed's answer unusable", "address", address, "cause", err)
		return
	}
	s.live.Merge(answer.Rows)
	if answer.Batch.To > 0 {
		s.copy.Apply(answer.Batch)
		s.log.Event("state taken from a seed", "address", address, "revision", answer.Batch.To)
	}
}

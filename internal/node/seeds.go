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
	// seedPath serves the state of a running VM to VMs that start.
	seedPath = "/v1/seed"
	// seedTimeout bounds a request to a seed.
	seedTimeout = time.Second
	// seedRetryDelay is the wait before each round of requests to the seeds.
	seedRetryDelay = 700 * time.Millisecond
	// maxSeedBytes bounds a seed's response. It holds the items of the largest
	// planned deployment.
	maxSeedBytes = 16 << 20
)

// seedResponse is the state that a running VM hands to one that starts.
type seedResponse struct {
	States []liveness.MemberState `cbor:"1,keyasint"`
	Batch  replica.Batch          `cbor:"2,keyasint"`
}

// seedHandler serves seedPath.
type seedHandler struct {
	copy     *replica.Replica
	liveness *liveness.Service
}

// ServeHTTP implements http.Handler.
func (h *seedHandler) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	data, err := peer.Marshal(seedResponse{States: h.liveness.States(), Batch: h.copy.Since(replica.Position{})})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	// The client retries after a truncated response.
	_, _ = w.Write(data)
}

// seedClient requests the state of the VMs listed in the settings, until the
// replica has been filled by one of them or by the store.
type seedClient struct {
	addresses []string
	self      string
	copy      *replica.Replica
	liveness  *liveness.Service
	log       *decisions.Log
	http      *http.Client
	group     background.Group
}

func newSeedClient(b *assembly) *seedClient {
	return &seedClient{
		addresses: b.settings.Seeds, self: b.settings.Listen.Peer, copy: b.copy, liveness: b.node.liveness,
		log: b.node.log, http: &http.Client{Timeout: seedTimeout, Transport: &http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}},
	}
}

// Start begins to request the state.
func (s *seedClient) Start(ctx context.Context) error {
	if err := s.group.Start(ctx); err != nil {
		return err
	}
	s.group.Go(s.run)
	return nil
}

// Stop ends the requests.
func (s *seedClient) Stop(ctx context.Context) error { return s.group.Stop(ctx) }

func (s *seedClient) run(ctx context.Context) {
	for background.Sleep(ctx, seedRetryDelay) && s.copy.Position().IsZero() {
		for _, address := range s.addresses {
			if address != s.self {
				s.fetch(ctx, address)
			}
		}
	}
}

func (s *seedClient) fetch(ctx context.Context, address string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+seedPath, nil)
	if err != nil {
		s.log.Error("invalid seed address", "address", address, "cause", err)
		return
	}
	resp, err := s.http.Do(req)
	if err != nil {
		s.log.Event("seed request failed", "address", address, "cause", err)
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.log.Event("seed request refused", "address", address, "status", resp.StatusCode)
		return
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxSeedBytes))
	var seedResp seedResponse
	if err == nil {
		err = peer.Unmarshal(data, &seedResp)
	}
	if err != nil {
		s.log.Event("invalid seed response", "address", address, "cause", err)
		return
	}
	s.liveness.MergeStates(seedResp.States)
	if seedResp.Batch.To > 0 {
		s.copy.Apply(seedResp.Batch)
		s.log.Event("state loaded from seed", "address", address, "revision", seedResp.Batch.To)
	}
}

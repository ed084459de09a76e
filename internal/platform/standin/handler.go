package standin

import (
	"context"
	"encoding/json"
	"net/http"

	"fuchsiaspar/internal/platform"
	"fuchsiaspar/internal/platform/wire"
)

// maxBodyBytes bounds a request's body: a value grows by a third in base64.
const maxBodyBytes = 2 * platform.MaxValueBytes

// Handler serves the stand-in over HTTP, so that daemons in other processes
// reach it through the HTTP adapter.
func Handler(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(wire.PathGet, operation(s, getOp))
	mux.Handle(wire.PathList, operation(s, listOp))
	mux.Handle(wire.PathPut, operation(s, putOp))
	mux.Handle(wire.PathDelete, operation(s, deleteOp))
	mux.Handle(wire.PathGrant, operation(s, grantOp))
	mux.Handle(wire.PathKeepAlive, operation(s, keepAliveOp))
	mux.Handle(wire.PathRevoke, operation(s, revokeOp))
	mux.Handle(wire.PathWatch, operation(s, watchOp))
	mux.Handle(wire.PathVMs, operation(s, vmsOp))
	return mux
}

// operation decodes a body, runs op for the client named in the header and
// encodes the answer.
func operation[Q, A any](s *Store, op func(context.Context, *Client, Q) (A, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body Q
		limited := http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if err := json.NewDecoder(limited).Decode(&body); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		client := s.Client(r.Header.Get(wire.ClientHeader))
		answer, err := op(r.Context(), client, body)
		if err != nil {
			http.Error(w, err.Error(), wire.Status(err))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	})
}

func getOp(ctx context.Context, c *Client, q wire.KeyRequest) (wire.EntriesAnswer, error) {
	entry, err := c.Get(ctx, q.Key)
	return wire.EntriesAnswer{Entries: []platform.Entry{entry}}, err
}

func listOp(ctx context.Context, c *Client, q wire.KeyRequest) (wire.EntriesAnswer, error) {
	entries, err := c.List(ctx, q.Key)
	return wire.EntriesAnswer{Entries: entries}, err
}

func putOp(ctx context.Context, c *Client, q wire.PutRequest) (wire.VersionAnswer, error) {
	version, err := c.Put(ctx, q.Key, q.Value, q.Expect, q.Lease)
	return wire.VersionAnswer{Version: version}, err
}

func deleteOp(ctx context.Context, c *Client, q wire.DeleteRequest) (wire.Empty, error) {
	return wire.Empty{}, c.Delete(ctx, q.Key, q.Expect)
}

func grantOp(ctx context.Context, c *Client, q wire.GrantRequest) (wire.LeaseAnswer, error) {
	id, err := c.Grant(ctx, q.TTL)
	return wire.LeaseAnswer{Lease: id}, err
}

func keepAliveOp(ctx context.Context, c *Client, q wire.LeaseRequest) (wire.Empty, error) {
	return wire.Empty{}, c.KeepAlive(ctx, q.Lease)
}

func revokeOp(ctx context.Context, c *Client, q wire.LeaseRequest) (wire.Empty, error) {
	return wire.Empty{}, c.Revoke(ctx, q.Lease)
}

func watchOp(ctx context.Context, c *Client, q wire.WatchRequest) (wire.EntriesAnswer, error) {
	entries, newest, err := c.Watch(ctx, q.Prefix, q.After)
	return wire.EntriesAnswer{Entries: entries, Newest: newest}, err
}

func vmsOp(ctx context.Context, c *Client, _ wire.Empty) (wire.VMsAnswer, error) {
	vms, err := c.VMs(ctx)
	return wire.VMsAnswer{VMs: vms}, err
}

package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	entryServers = 9
	entryWork    = 800 * time.Millisecond
	// entryGap is the time between the removal of the server's entry and the entry of another
	// writer, and leavingTime the time for which the server goes on after the removal.
	entryGap    = 4 * time.Second
	leavingTime = 10 * time.Second
	// arrivalMargin allows for the way of a request from the client to the server.
	arrivalMargin = 200 * time.Millisecond
)

// entryCase lets a server leave without a report, as some do: its entry is removed and it
// serves on for some seconds. Meanwhile another writer, which knows neither the server's
// version nor its sequence, writes an entry under its key.
func entryCase(w *world, trouble bool) (string, error) {
	w.configure(7, []string{"desk"}, map[string]any{
		"r-look":  route("/look/", "idempotent", "desk", 2*time.Second),
		"r-order": route("/order/", "non_idempotent", "desk", 2*time.Second),
	})
	var servers []*backend
	for i := range entryServers {
		b, err := w.startBackend(fmt.Sprintf("i-%02d", i), "desk", regions[i%len(regions)]+"-a", entryWork)
		if err != nil {
			return "", err
		}
		servers = append(servers, b)
		defer b.exit()
	}
	if err := w.startVMs(daemon, 6); err != nil {
		return "", err
	}
	if err := w.awaitReady(); err != nil {
		return "", err
	}
	looks := w.startLoad(8, http.MethodGet, "/look/x?size=2000", 2500*time.Millisecond, 50*time.Millisecond)
	orders := w.startLoad(14, http.MethodPost, "/order/x?size=500", 3*time.Second, 50*time.Millisecond)
	time.Sleep(4 * time.Second)

	leaver := servers[0]
	leaver.stopBeats()
	time.Sleep(50 * time.Millisecond)
	w.store.delete("servers/" + leaver.id)
	removed := time.Now()
	w.note("the entry of %s is removed; it serves on for %v", leaver.id, leavingTime)
	time.Sleep(entryGap)
	if trouble {
		w.store.put("servers/"+leaver.id, map[string]any{
			"address": leaver.listener.Addr().String(), "born": leaver.born,
			"info":   map[string]any{"service": leaver.service, "zone": leaver.zone, "slots": slotsPerServer},
			"status": map[string]any{"state": "ready", "cold_left_ms": 0},
		})
		w.note("another writer writes servers/%s, without version and sequence", leaver.id)
	}
	time.Sleep(time.Until(removed.Add(leavingTime)))
	leaver.exit()
	exited := time.Now()
	w.note("%s exits", leaver.id)
	time.Sleep(2 * time.Second)
	done := append(looks.end(), orders.end()...)

	sent := map[string]exchange{}
	for _, e := range done {
		sent[e.id] = e
	}
	late, cut, served := 0, 0, 0
	w.mu.Lock()
	for _, a := range w.arrivals {
		e, known := sent[a.id]
		if known && e.status == http.StatusOK {
			served++
		}
		if a.server != leaver.id || !known || !a.at.After(removed.Add(drainTime+arrivalMargin)) {
			continue
		}
		late++
		if e.method == http.MethodPost && a.ran && a.finished.IsZero() && a.at.Before(exited) {
			cut++
		}
	}
	w.mu.Unlock()
	w.note("served %d; reached %s later than drain_ms after its removal: %d, orders among them that it ran and that were cut at its end: %d", served, leaver.id, late, cut)
	fmt.Printf("served %d; reached the server that had left, later than drain_ms after: %d, orders among them cut at its end: %d\n", served, late, cut)
	if served < 100 {
		return "", fmt.Errorf("only %d requests were served", served)
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests reached a server later than drain_ms after it was gone, %d orders were cut off at its end", late, cut), nil
	}
	return "", nil
}

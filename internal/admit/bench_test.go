package admit_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

// benchServers is the count of servers of one owner.
const benchServers = 3

// benchmarkQueue returns a queue whose slots are busy and in which requests
// requests wait, spread over accounts.
func benchmarkQueue(accounts, requests, limit int) *admit.Queue {
	policy := admit.DefaultPolicy()
	policy.QueueLimit = limit
	q := admit.New(policy)
	var servers []admit.Server
	for i := range benchServers {
		servers = append(servers, admit.Server{ID: serverID(i), Limit: serverSlots})
	}
	q.SetServers(simStart, servers)
	for i := range benchServers*serverSlots + requests {
		q.Offer(simStart, benchRequest(i, accounts))
	}
	return q
}

func benchRequest(i, accounts int) admit.Request {
	return admit.Request{
		ID:       uint64(i),
		Account:  model.AccountID("account-" + strconv.Itoa(i%accounts)),
		Priority: model.PriorityNormal,
		Deadline: simStart.Add(time.Hour),
	}
}

// perAccounts runs a benchmark with several counts of accounts, of which the
// first has two requests waiting and each other one has one.
func perAccounts(b *testing.B, limit int, run func(b *testing.B, q *admit.Queue, accounts int)) {
	for _, accounts := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("accounts=", accounts), func(b *testing.B) {
			q := benchmarkQueue(accounts, accounts+1, limit*(accounts+1))
			b.ReportAllocs()
			b.ResetTimer()
			run(b, q, accounts)
		})
	}
}

// firstWaiting returns the item of the account with two requests waiting.
func firstWaiting(accounts int) admit.Request {
	req := benchRequest(benchServers*serverSlots, accounts)
	req.ID = 1 << 40
	return req
}

// BenchmarkRefuse offers to a full queue for the account with the longest
// queue.
func BenchmarkRefuse(b *testing.B) {
	perAccounts(b, 1, func(b *testing.B, q *admit.Queue, accounts int) {
		req := firstWaiting(accounts)
		for b.Loop() {
			if len(q.Offer(simStart, req).Refusals) != 1 {
				b.Fatal("not refused")
			}
		}
	})
}

// BenchmarkDisplace offers to a full queue in which another account pays, then
// restores the queue: two offers and an abandon.
func BenchmarkDisplace(b *testing.B) {
	perAccounts(b, 1, func(b *testing.B, q *admit.Queue, accounts int) {
		flooder := firstWaiting(accounts)
		newcomer := flooder
		newcomer.Account = "newcomer"
		for b.Loop() {
			displaced := q.Offer(simStart, newcomer).Refusals
			if len(displaced) != 1 || displaced[0].ID == newcomer.ID {
				b.Fatal("not displaced")
			}
			flooder.ID = displaced[0].ID
			q.Abandon(simStart, newcomer.ID)
			q.Offer(simStart, flooder)
		}
	})
}

// BenchmarkAdmit offers a request that waits and ends one that runs, so that
// each iteration queues one and starts one.
func BenchmarkAdmit(b *testing.B) {
	perAccounts(b, 2, func(b *testing.B, q *admit.Queue, accounts int) {
		accountIDs := make([]model.AccountID, accounts)
		for i := range accountIDs {
			accountIDs[i] = benchRequest(i, accounts).Account
		}
		running := make([]uint64, 0, benchServers*serverSlots)
		for i := range benchServers * serverSlots {
			running = append(running, uint64(i))
		}
		now := simStart
		req := firstWaiting(accounts)
		i := 0
		for b.Loop() {
			now = now.Add(time.Microsecond)
			req.ID++
			req.Account = accountIDs[i%accounts]
			q.Offer(now, req)
			slot := i % len(running)
			running[slot] = q.Done(now, running[slot], 20*ms).Starts[0].ID
			i++
		}
	})
}

// BenchmarkSetServers replaces the limits of a fleet.
func BenchmarkSetServers(b *testing.B) {
	for _, n := range []int{3, 20, 240} {
		b.Run(fmt.Sprint("servers=", n), func(b *testing.B) {
			servers := make([]admit.Server, n)
			for i := range servers {
				servers[i] = admit.Server{ID: serverID(i), Limit: serverSlots}
			}
			q := admit.New(admit.DefaultPolicy())
			b.ReportAllocs()
			for b.Loop() {
				q.SetServers(simStart, servers)
			}
		})
	}
}

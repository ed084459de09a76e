package admit_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"fuchsiaspar/internal/admit"
	"fuchsiaspar/internal/model"
)

// benchServers is the number of servers that the queue assigns.
const benchServers = 3

// benchmarkQueue returns a queue with all slots busy and the given number of
// waiting requests, spread over accounts. Limit is the queue limit.
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

// benchRequest returns a normal request with ID i; the accounts take turns.
func benchRequest(i, accounts int) admit.Request {
	return admit.Request{
		ID:       uint64(i),
		Account:  model.AccountID("account-" + strconv.Itoa(i%accounts)),
		Priority: model.PriorityNormal,
		Deadline: simStart.Add(time.Hour),
	}
}

// perAccounts runs a benchmark for several numbers of accounts. The first account
// has two waiting requests and the others have one each. The queue limit is limit
// times the number of waiting requests.
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

// firstWaiting returns a new request of the account with two waiting requests.
func firstWaiting(accounts int) admit.Request {
	req := benchRequest(benchServers*serverSlots, accounts)
	req.ID = 1 << 40
	return req
}

// BenchmarkRefuse offers a request of the account with the longest queue to a full
// queue, which refuses it.
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

// BenchmarkDisplace offers a request to a full queue, which displaces a request of
// the account with the longest queue, and then restores the queue. Each iteration
// includes two offers and one abandon.
func BenchmarkDisplace(b *testing.B) {
	perAccounts(b, 1, func(b *testing.B, q *admit.Queue, accounts int) {
		fromLongest := firstWaiting(accounts)
		newcomer := fromLongest
		newcomer.Account = "newcomer"
		for b.Loop() {
			displaced := q.Offer(simStart, newcomer).Refusals
			if len(displaced) != 1 || displaced[0].ID == newcomer.ID {
				b.Fatal("not displaced")
			}
			fromLongest.ID = displaced[0].ID
			q.Abandon(simStart, newcomer.ID)
			q.Offer(simStart, fromLongest)
		}
	})
}

// BenchmarkAdmit offers a request, which waits, and ends a running one, so that
// each iteration queues one request and starts one.
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

// BenchmarkSetServers sets the limits of several numbers of servers.
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

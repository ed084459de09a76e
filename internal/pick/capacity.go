package pick

import (
	"math"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/concurrency"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/share"
)

// CapacityChange reports that the estimated capacity of a server fell below half of its
// slots, or returned.
type CapacityChange struct {
	Server *catalog.Server
	// Low reports whether the capacity is low now.
	Low      bool
	Evidence concurrency.Evidence
}

// startEstimate begins the estimate of a server process.
func (f *Fleet) startEstimate(s *Server) {
	if !f.options.LearnCapacity {
		return
	}
	service, ok := f.estimates[s.Service]
	if !ok {
		service = concurrency.NewService()
		f.estimates[s.Service] = service
	}
	s.estimator = service.NewEstimator(s.Slots, func(low bool, evidence concurrency.Evidence) {
		f.options.OnCapacity(CapacityChange{Server: s.Server, Low: low, Evidence: evidence})
	})
}

// stopEstimate ends the estimate of a server process that is listed no more.
func (f *Fleet) stopEstimate(s *Server) {
	if s.estimator != nil {
		f.estimates[s.Service].Remove(s.estimator)
	}
}

func (s *Server) setEstimateSlots() {
	if s.estimator != nil {
		s.estimator.SetSlots(s.Slots)
	}
}

func (s *Server) forgetEstimate() {
	if s.estimator != nil {
		s.estimator.Forget()
	}
}

// refreshEstimates brings the estimates of a service's servers up to date.
func (f *Fleet) refreshEstimates(service model.ServiceName, now time.Time) {
	if s, ok := f.estimates[service]; ok {
		s.Refresh(now)
	}
}

// capacity returns the number of requests that the server takes at once without queueing
// longer than usual.
func (s *Server) capacity() float64 {
	if s.estimator != nil {
		return s.estimator.Estimate().Capacity
	}
	return float64(max(s.Slots, 1))
}

// hasIdleSlot reports whether a slow server behind load has a slot that is worth using. Its
// estimated capacity is less than that, but a slot that is idle is no reason for a refusal.
func (s *Server) hasIdleSlot(load float64) bool {
	return s.estimator != nil && load*s.capacity() < s.estimator.Estimate().UsefulSlots
}

// queueRoom returns the number of requests per slot that may wait at the server.
func (s *Server) queueRoom() float64 {
	if s.estimator != nil {
		return queuePerSlot * s.estimator.Estimate().QueueShare
	}
	return queuePerSlot
}

// speedCost returns the cost of waiting behind load and of the time by which a request
// takes longer than on a server of usual speed. The capacity, and so load, reflects a low
// speed but no high one.
func (s *Server) speedCost(load float64) float64 {
	if s.estimator == nil {
		return load
	}
	taken := s.estimator.Estimate().Time
	return load*min(taken, 1) + taken - 1
}

// usualSlowness returns the slowness of the server's machine that the estimated speed
// includes.
func (s *Server) usualSlowness() float64 {
	if s.estimator != nil {
		return s.estimator.Estimate().ReportedSlowness
	}
	return 1
}

// beginEstimate reports to the estimator a request that is about to be sent.
func (f *Fleet) beginEstimate(c *Choice, now time.Time) {
	s := c.Server
	if s.estimator == nil {
		return
	}
	acquaintance := concurrency.Foreign
	switch {
	case c.known:
		acquaintance = concurrency.Known
	case c.Rank == 0:
		acquaintance = concurrency.Home
	}
	c.ticket = s.estimator.Begin(concurrency.Request{
		Class: concurrency.Class{Route: c.route, Object: acquaintance, Far: s.Region != f.options.Region},
		Ahead: int(math.Round(c.Load * s.capacity())),
	}, now)
}

// recordEstimate reports to the estimator how a request ended.
func (s *Server) recordEstimate(c Choice, outcome Outcome, report *Report, now time.Time) {
	if s.estimator == nil {
		return
	}
	sample := concurrency.Sample{Ticket: c.ticket, End: concurrency.Ignored}
	switch {
	case c.Cold:
	case outcome == Answered:
		sample.End = concurrency.Completed
	case outcome == Refused:
		sample.End = concurrency.Refused
	case outcome == Abandoned, outcome == Unanswered, outcome == Failed && report == nil:
		sample.End = concurrency.Interrupted
	}
	if report != nil {
		sample.Report = concurrency.Report{Running: report.Running, Waiting: report.Waiting, Slots: report.Slots, Slowness: report.Slowness}
	}
	s.estimator.Record(sample, now)
}

// StopTiming excludes a request from the estimate of its server, because its time depends
// on the client.
func (f *Fleet) StopTiming(choice Choice) {
	if !f.options.LearnCapacity {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	choice.Server.estimator.Ignore(choice.ticket)
}

// SpeedReports returns the reports of this VM about servers that are slower than usual.
func (f *Fleet) SpeedReports(now time.Time) share.SpeedReports {
	if !f.options.LearnCapacity {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	reports := share.SpeedReports{}
	for _, service := range f.estimates {
		service.Refresh(now)
	}
	for _, s := range f.servers {
		if r, ok := s.estimator.PeerReport(now); ok {
			reports[s.hash] = share.SpeedReport{Slowness: int16(math.Round(r.Slowness * share.SlownessUnit)), Age: r.Age}
		}
	}
	return reports
}

// SetRemoteSpeeds applies reports of other VMs.
func (f *Fleet) SetRemoteSpeeds(reports []share.RemoteSpeed, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range reports {
		if s, ok := f.byHash[r.Server]; ok && s.estimator != nil {
			s.estimator.SetPeerReport(uint64(r.Origin), concurrency.PeerReport{
				Slowness: float64(r.Slowness) / share.SlownessUnit, Age: r.Age,
			}, now)
		}
	}
}

// Speeds returns a summary of the estimates of each service; it is empty unless
// Options.LearnCapacity is set.
func (f *Fleet) Speeds(now time.Time) map[model.ServiceName]concurrency.Summary {
	f.mu.Lock()
	defer f.mu.Unlock()
	summaries := make(map[model.ServiceName]concurrency.Summary, len(f.estimates))
	for name, service := range f.estimates {
		service.Refresh(now)
		summaries[name] = service.Summary()
	}
	return summaries
}

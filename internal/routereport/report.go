// Package routereport defines the answer of an entry VM to the question where a request
// would go now, and prints it.
package routereport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Path is the path of the question on the metrics listener of an entry VM.
const Path = "/route"

// Names of the parameters of the question. There is none for keys of client accounts.
const (
	ParamHost    = "host"
	ParamPath    = "path"
	ParamAccount = "account"
	ParamRegion  = "region"
	ParamZone    = "zone"
	ParamObject  = "object"
)

// Report is the answer.
type Report struct {
	// VM is the entry VM that answers, and Region the region at whose VMs the request is
	// assumed to arrive.
	VM     string `json:"vm"`
	Region string `json:"region"`
	Data   Data   `json:"data"`
	// Route is nil if none matches.
	Route   *Route   `json:"route,omitempty"`
	Account *Account `json:"account,omitempty"`
	// AllowedRegions are those in which the request may run; empty means all.
	AllowedRegions []string `json:"allowed_regions,omitempty"`
	// Refusal is nil if the request would be sent to a server, or if that depends on the
	// service that is drawn.
	Refusal  *Refusal  `json:"refusal,omitempty"`
	Services []Service `json:"services,omitempty"`
	// Unknown lists what the answer can't take into account.
	Unknown []string `json:"unknown"`
}

// Data describes what the answer rests on.
type Data struct {
	ConfigVersion int64 `json:"config_version"`
	// CopyAgeMS is the time since this VM's copy of the store last was known to be
	// current, in milliseconds.
	CopyAgeMS int64 `json:"copy_age_ms"`
}

// Route is the route that matches.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	Kind   string `json:"kind"`
	Rank   int    `json:"rank"`
	Exempt bool   `json:"exempt"`
}

// Account is the client account.
type Account struct {
	Name string `json:"name"`
	// RatePerSecond and Burst limit its requests at all VMs together; a rate of zero
	// means no limit.
	RatePerSecond float64 `json:"rate_per_s"`
	Burst         float64 `json:"burst"`
}

// Refusal is a response of the VM itself.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMS is the range of Retry-After in milliseconds; nil if there is none.
	RetryAfterMS []int64 `json:"retry_after_ms,omitempty"`
}

// Service is a service of the route's traffic split.
type Service struct {
	Name string `json:"name"`
	// Share is the part of the requests that this service is drawn for.
	Share   float64  `json:"share"`
	Servers int      `json:"servers"`
	Refusal *Refusal `json:"refusal,omitempty"`
	// Chosen is empty if no server would get the request.
	Chosen string `json:"chosen,omitempty"`
	// Candidates are the first servers in the object's ranking. Unlisted is the number
	// of servers that rank below them.
	Candidates []Candidate `json:"candidates"`
	Unlisted   int         `json:"unlisted"`
}

// Candidate is a server that a request may go to.
type Candidate struct {
	Server string `json:"server"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Excluded says why the server can't get the request; empty if it can.
	Excluded string `json:"excluded,omitempty"`
	// Cost is the sum of Parts; the lowest wins. A cost of 1 equals a full set of slots.
	Cost  float64 `json:"cost"`
	Parts []Part  `json:"parts,omitempty"`
	// Present is the number of requests at the server that are known of, and Capacity
	// the number that it takes at once.
	Present  int     `json:"present"`
	Capacity float64 `json:"capacity"`
	// Speed is relative to the other servers; 1 where it is not estimated.
	Speed float64 `json:"speed"`
	// ReportAgeMS is the age of the server's last load report; -1 if there was none.
	ReportAgeMS int64 `json:"report_age_ms"`
}

// Part is a part of a cost.
type Part struct {
	Name string  `json:"name"`
	Cost float64 `json:"cost"`
}

// WriteText prints the report.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "as seen from %s, for requests that arrive in region %s\n", r.VM, r.Region)
	fmt.Fprintf(w, "configuration %d, copy of the store current up to %d ms ago\n", r.Data.ConfigVersion, r.Data.CopyAgeMS)
	if r.Route != nil {
		fmt.Fprintf(w, "route %s: %s%s, %s, rank %d\n", r.Route.Name, r.Route.Host, r.Route.Prefix, r.Route.Kind, r.Route.Rank)
	}
	if r.Account != nil {
		fmt.Fprintf(w, "account %s: %s\n", r.Account.Name, r.Account.limit())
	}
	if len(r.AllowedRegions) > 0 {
		fmt.Fprintf(w, "allowed regions: %s\n", strings.Join(r.AllowedRegions, ", "))
	}
	r.Refusal.writeText(w)
	for i := range r.Services {
		r.Services[i].writeText(w)
	}
	fmt.Fprintln(w, "not known:")
	for _, text := range r.Unknown {
		fmt.Fprintf(w, "  %s\n", text)
	}
}

func (a *Account) limit() string {
	if a.RatePerSecond == 0 {
		return "no limit"
	}
	return fmt.Sprintf("%g requests per second and a burst of %g", a.RatePerSecond, a.Burst)
}

// writeText prints a refusal, which may be nil.
func (r *Refusal) writeText(w io.Writer) {
	if r == nil {
		return
	}
	fmt.Fprintf(w, "refused: %d %s", r.Status, r.Reason)
	if len(r.RetryAfterMS) > 0 {
		fmt.Fprintf(w, ", Retry-After %d to %d ms", r.RetryAfterMS[0], r.RetryAfterMS[1])
	}
	fmt.Fprintln(w)
}

func (s *Service) writeText(w io.Writer) {
	fmt.Fprintf(w, "service %s, %.0f %% of the requests, %d servers\n", s.Name, 100*s.Share, s.Servers)
	s.Refusal.writeText(w)
	if s.Chosen != "" {
		fmt.Fprintf(w, "goes to %s\n", s.Chosen)
	}
	const padding = 2
	columns := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	fmt.Fprintln(columns, "SERVER\tZONE\tCOST\tOF WHICH\tPRESENT/CAPACITY\tSPEED\tREPORTED")
	for _, c := range s.Candidates {
		cost := fmt.Sprintf("%.2f", c.Cost)
		if c.Excluded != "" {
			cost = "-"
		}
		fmt.Fprintf(columns, "%s\t%s\t%s\t%s\t%d/%.1f\t%.2f\t%s\n",
			c.Server, c.Zone, cost, c.explanation(), c.Present, c.Capacity, c.Speed, c.reportAge())
	}
	_ = columns.Flush()
	if s.Unlisted > 0 {
		fmt.Fprintf(w, "%d servers rank below these\n", s.Unlisted)
	}
}

// explanation returns why the server is excluded, or the parts of its cost.
func (c *Candidate) explanation() string {
	if c.Excluded != "" {
		return c.Excluded
	}
	var texts []string
	for _, p := range c.Parts {
		texts = append(texts, fmt.Sprintf("%s %.2f", p.Name, p.Cost))
	}
	if len(texts) == 0 {
		return "-"
	}
	return strings.Join(texts, ", ")
}

func (c *Candidate) reportAge() string {
	if c.ReportAgeMS < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms ago", c.ReportAgeMS)
}

package front

import (
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/overload"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/routereport"
)

// RouteExplainer is an http.Handler that says where a request would go now and why,
// without sending it. It neither takes nor shows keys of client accounts. It is safe for
// concurrent use.
type RouteExplainer struct {
	// VM and Region identify this entry VM, and Regions maps availability zones to
	// regions.
	VM      model.VMID
	Region  model.Region
	Regions map[model.Zone]model.Region
	// Snapshot, Age and Fleet are as in Options.
	Snapshot func() *catalog.Snapshot
	Age      func(now time.Time) time.Duration
	Fleet    *pick.Fleet
}

// routeParams are the parameters of a question.
var routeParams = []string{
	routereport.ParamHost, routereport.ParamPath, routereport.ParamAccount,
	routereport.ParamRegion, routereport.ParamZone, routereport.ParamObject,
}

// ServeHTTP implements http.Handler.
func (e *RouteExplainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		w.Header().Set("Allow", http.MethodGet)
		http.Error(w, "only GET", http.StatusMethodNotAllowed)
		return
	}
	params := r.URL.Query()
	problem := ""
	for name, values := range params {
		if !slices.Contains(routeParams, name) || len(values) > 1 {
			// The name is not repeated, since it may be a key by mistake.
			problem = "unknown or repeated parameter"
		}
	}
	region, known := e.arrival(params)
	switch {
	case r.Header.Get("Authorization") != "":
		problem = "keys are not taken here: name the account"
	case problem == "" && params.Get(routereport.ParamHost) == "":
		problem = "host is missing"
	case problem == "" && !known:
		problem = "unknown region or zone"
	}
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client disconnected.
	_ = json.NewEncoder(w).Encode(e.explain(params, region, time.Now()))
}

// arrival returns the region in which the request arrives.
func (e *RouteExplainer) arrival(params url.Values) (model.Region, bool) {
	if zone := params.Get(routereport.ParamZone); zone != "" {
		region, ok := e.Regions[model.Zone(zone)]
		return region, ok
	}
	region := model.Region(params.Get(routereport.ParamRegion))
	if region == "" {
		return e.Region, true
	}
	for _, known := range e.Regions {
		if known == region {
			return region, true
		}
	}
	return region, false
}

func (e *RouteExplainer) explain(params url.Values, region model.Region, now time.Time) *routereport.Report {
	snapshot := e.Snapshot()
	report := &routereport.Report{
		VM: string(e.VM), Region: string(region),
		Data:    routereport.Data{CopyAgeMS: e.Age(now).Milliseconds()},
		Unknown: []string{"what is left of the client's time, and the other attempts of the request"},
	}
	if snapshot.Config == nil {
		report.Refusal = refusalReport(reasonNoConfig, http.StatusServiceUnavailable, overload.Refusal{})
		return report
	}
	report.Data.ConfigVersion = snapshot.Config.Version
	path := params.Get(routereport.ParamPath)
	if path == "" {
		path = "/"
	}
	route := matchRoute(snapshot, params.Get(routereport.ParamHost), path)
	if route == nil {
		report.Refusal = &routereport.Refusal{Status: http.StatusNotFound, Reason: reasonNoRoute}
		return report
	}
	report.Route = &routereport.Route{
		Name: route.Name, Host: route.Host, Prefix: route.Prefix, Kind: route.Kind.String(), Rank: route.Rank, Exempt: route.Exempt,
	}
	account, refused := e.explainAccount(report, snapshot, route, params.Get(routereport.ParamAccount), now)
	if refused {
		return report
	}
	regions := allowedRegions(route, account)
	report.AllowedRegions = restriction(regions, route, account)
	if region != e.Region {
		report.Unknown = append(report.Unknown, "loads, failures and objects that VMs of the region have seen: "+
			"the answer uses those of "+string(e.VM))
	}
	report.Unknown = append(report.Unknown, "requests at the servers that other VMs sent in the last 0.1 s, or could not report")
	object := params.Get(routereport.ParamObject)
	if object == "" {
		report.Unknown = append(report.Unknown, "the object: without one the id of the request ranks the servers, so the choice is one example")
	}
	query := pick.Query{Route: route, Regions: regions, Object: pick.ObjectHash(route.Host, route.Prefix, object)}
	e.explainServices(report, query, region, now)
	return report
}

// explainAccount describes the client account. It reports whether the request would be
// refused.
func (e *RouteExplainer) explainAccount(report *routereport.Report, snapshot *catalog.Snapshot, route *catalog.Route, name string, now time.Time) (*catalog.Account, bool) {
	accounts := &snapshot.Config.Accounts
	if accounts.Len() == 0 {
		return nil, false
	}
	account := accounts.ByID(model.AccountID(name))
	switch {
	case account != nil:
		report.Account = &routereport.Account{Name: string(account.ID), RatePerSecond: account.RatePerSecond, Burst: account.Burst}
		report.Unknown = append(report.Unknown, "whether the client has a valid key of the account")
		if account.RatePerSecond > 0 {
			report.Unknown = append(report.Unknown, "how much of the account's limit is used")
		}
	case route.Exempt:
	case e.Age(now) > currentAge:
		report.Refusal = refusalReport(reasonUnconfirmedKey, http.StatusServiceUnavailable, overload.Refusal{Objective: route.TargetLatency})
		return nil, true
	default:
		report.Refusal = &routereport.Refusal{Status: http.StatusUnauthorized, Reason: reasonUnknownKey}
		return nil, true
	}
	return account, false
}

// restriction returns the allowed regions among those that the route or the account names.
func restriction(regions catalog.Regions, route *catalog.Route, account *catalog.Account) []string {
	named := slices.Clone(route.Regions)
	if account != nil {
		named = append(named, account.Regions...)
	}
	slices.Sort(named)
	var allowed []string
	for _, region := range slices.Compact(named) {
		if regions.Allows(region) {
			allowed = append(allowed, string(region))
		}
	}
	return allowed
}

// explainServices describes the choice for each service of the route.
func (e *RouteExplainer) explainServices(report *routereport.Report, query pick.Query, region model.Region, now time.Time) {
	total := 0.0
	for _, part := range query.Route.Targets {
		total += part.Weight
	}
	for _, part := range query.Route.Targets {
		query.Service = part.Service
		explanation := e.Fleet.Explain(query, region, now)
		service := explanation.Service
		service.Share = part.Weight / total
		if reason := explanation.Reason; reason != "" {
			refusal := overload.Refusal{Cause: overload.Full, Objective: query.Route.TargetLatency}
			if left, paused := e.Fleet.PauseLeft(query, now); reason == pick.Paused && paused {
				refusal.Cause, refusal.PauseLeft = overload.Paused, left
			}
			if reason == pick.Yield {
				refusal.Cause = overload.Yielded
				report.Unknown = append(report.Unknown, "whether a server becomes free while the request waits, up to "+
					strconv.FormatInt((query.Route.TargetLatency/yieldObjectiveDivisor).Milliseconds(), 10)+" ms")
			}
			service.Refusal = refusalReport(string(reason), http.StatusServiceUnavailable, refusal)
		}
		report.Services = append(report.Services, service)
	}
	if len(query.Route.Targets) > 1 {
		report.Unknown = append(report.Unknown, "which service of the route is drawn")
	} else if len(report.Services) == 1 {
		report.Refusal, report.Services[0].Refusal = report.Services[0].Refusal, nil
	}
}

// refusalReport describes a response with a Retry-After header.
func refusalReport(reason string, status int, refusal overload.Refusal) *routereport.Refusal {
	first, last := overload.RetryAfter(refusal, 0), overload.RetryAfter(refusal, 1)
	return &routereport.Refusal{Status: status, Reason: reason, RetryAfterMS: []int64{first.Milliseconds(), last.Milliseconds()}}
}

// allowedRegions returns the regions in which a request may run. account may be nil.
func allowedRegions(route *catalog.Route, account *catalog.Account) catalog.Regions {
	if account == nil {
		return catalog.NewRegions(route.Regions)
	}
	return catalog.NewRegions(route.Regions, account.Regions)
}

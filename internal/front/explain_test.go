package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/catalog"
	"fuchsiaspar/internal/model"
	"fuchsiaspar/internal/pick"
	"fuchsiaspar/internal/routereport"
)

// explainer answers about two servers in region mb, of which one is ejected, and one in kp.
func explainer(t *testing.T, age time.Duration) *RouteExplainer {
	t.Helper()
	servers := []*catalog.Server{
		{ID: "i-0", Service: "desk", Region: "mb", Slots: 3}, {ID: "i-1", Service: "desk", Region: "mb", Slots: 3},
		{ID: "i-2", Service: "desk", Region: "kp", Slots: 3},
	}
	snapshot := catalog.NewSnapshot(9, accountConfig(t), servers, nil, nil)
	fleet := pick.NewFleet(pick.Options{Self: "vm-0", Region: "mb", LearnCapacity: true})
	now := time.Now()
	fleet.SetSnapshot(snapshot, now)
	query := pick.Query{Route: &snapshot.Config.Routes[0], Service: "desk", Exclude: []model.ServerID{"i-1", "i-2"}}
	choice, reason := fleet.Pick(query, now)
	if reason != "" {
		t.Fatal(reason)
	}
	for range 4 {
		fleet.Done(choice, pick.Unanswered, nil, now)
	}
	return &RouteExplainer{
		VM: "vm-0", Region: "mb", Regions: map[model.Zone]model.Region{"mb-a": "mb", "kp-a": "kp"},
		Snapshot: func() *catalog.Snapshot { return snapshot }, Age: func(time.Time) time.Duration { return age }, Fleet: fleet,
	}
}

func ask(e *RouteExplainer, method, query string, h http.Header) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, routereport.Path+"?"+query, nil)
	req.Header = h
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, req)
	return recorder
}

// TestExplainRoute guards against an answer that differs from what happens to a request.
func TestExplainRoute(t *testing.T) {
	tests := []struct {
		desc, query string
		age         time.Duration
		status      int
		reason      string
		chosen      []string
		regions     string
	}{
		{"account for all regions", "host=h.example:80&path=/read/a&account=everywhere&object=o", 0, 0, "", []string{"i-1", "i-2"}, ""},
		{"account for one region", "host=h.example&path=/read/a&account=homed&object=o", 0, 0, "", []string{"i-2"}, "kp"},
		{"exempt route", "host=h.example&path=/open/a&zone=kp-a", 0, 0, "", []string{"i-1", "i-2"}, ""},
		{"no account", "host=h.example&path=/read/a", 0, 401, reasonUnknownKey, nil, ""},
		{"unknown account, old copy", "host=h.example&path=/read/a&account=x", time.Minute, 503, reasonUnconfirmedKey, nil, ""},
		{"no route", "host=h.example&path=/none", 0, 404, reasonNoRoute, nil, ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			answer := ask(explainer(t, tt.age), http.MethodGet, tt.query, nil)
			var report routereport.Report
			if err := json.Unmarshal(answer.Body.Bytes(), &report); err != nil {
				t.Fatalf("%v: %s", err, answer.Body)
			}
			if tt.status != 0 {
				if report.Refusal == nil || report.Refusal.Status != tt.status || report.Refusal.Reason != tt.reason {
					t.Errorf("got refusal %+v, want %d %s", report.Refusal, tt.status, tt.reason)
				}
				if got := report.Refusal != nil && len(report.Refusal.RetryAfterMS) == 2; got != (tt.status == 503) {
					t.Errorf("Retry-After is %t for status %d", got, tt.status)
				}
				return
			}
			if got := strings.Join(report.AllowedRegions, ","); got != tt.regions {
				t.Errorf("got regions %q, want %q", got, tt.regions)
			}
			if len(report.Services) != 1 || !strings.Contains(strings.Join(tt.chosen, ","), report.Services[0].Chosen) || report.Services[0].Chosen == "" {
				t.Fatalf("got services %+v, want one of %v", report.Services, tt.chosen)
			}
			for _, c := range report.Services[0].Candidates {
				if excluded := c.Server == "i-0"; excluded && c.Excluded == "" {
					t.Errorf("the ejected server is a candidate: %+v", c)
				}
			}
			if len(report.Unknown) == 0 || report.Data.CopyAgeMS != tt.age.Milliseconds() {
				t.Errorf("got %+v without what is unknown, or another age", report)
			}
		})
	}
}

// TestExplainRouteTakesNoKeys guards against keys that reach an answer or a log, and
// against requests that do more than ask.
func TestExplainRouteTakesNoKeys(t *testing.T) {
	for _, tt := range []struct {
		method, query string
		header        http.Header
		status        int
	}{
		{http.MethodGet, "host=h.example", http.Header{"Authorization": {"Bearer key-1"}}, 400},
		{http.MethodGet, "host=h.example&key=key-1", nil, 400},
		{http.MethodGet, "host=h.example&key-1", nil, 400},
		{http.MethodGet, "host=h.example&path=/read/a&account=key-1", nil, 200},
		{http.MethodGet, "host=h.example&region=key-1", nil, 400},
		{http.MethodGet, "path=/read/a", nil, 400},
		{http.MethodGet, "host=key-1", nil, 200},
		{http.MethodGet, "host=h.example&path=/key-1", nil, 200},
		{http.MethodGet, "host=h.example&path=/read/key-1&account=homed&object=key-1", nil, 200},
		{http.MethodGet, "host=h.example&path=/read/a&account=homed&zone=key-1", nil, 400},
		{http.MethodGet, "host=h.example&account=homed&account=key-1", nil, 400},
		{http.MethodPost, "host=h.example", nil, 405},
		{http.MethodHead, "host=h.example", nil, 405},
		{http.MethodPut, "host=h.example", nil, 405},
		{http.MethodDelete, "host=h.example", nil, 405},
		{http.MethodOptions, "host=h.example", nil, 405},
		{http.MethodConnect, "host=h.example", nil, 405},
		{"key-1", "host=h.example", nil, 405},
	} {
		answer := ask(explainer(t, 0), tt.method, tt.query, tt.header)
		if answer.Code != tt.status {
			t.Errorf("%s %s: got status %d, want %d", tt.method, tt.query, answer.Code, tt.status)
		}
		if shown := answer.Body.String() + fmt.Sprint(answer.Header()); strings.Contains(shown, "key-") {
			t.Errorf("%s %s: the answer repeats the key: %s", tt.method, tt.query, shown)
		}
	}
}

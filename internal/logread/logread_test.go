package logread

import (
	"strings"
	"testing"
)

const log = `noise before
time=2026-04-18T15:15:10.000000000Z level=info msg="configuration in force" vm=a version=3 revision=8
time=2026-04-18T15:15:20.000000000Z level=info msg="store lost" vm=a cause="store: refused"
time=2026-04-18T15:15:20.100000000Z level=info msg="store lost" vm=b cause="store: refused"
  0.25 a time=2026-04-18T15:15:21.000000000Z level=warn msg="no answer" vm=a request=id-1 ms=40 server=i-1
time=2026-04-18T15:15:21.100000000Z level=warn msg="gave up" vm=a request=id-1 ms=45 reason=may_have_run status=502
time=2026-04-18T15:15:21.200000000Z level=info msg=answered vm=a request=id-2 ms=45 status=200
`

func TestReportOfARequest(t *testing.T) {
	report, err := Read(strings.NewReader(log), "id-1")
	if err != nil {
		t.Fatal(err)
	}
	if len(report.Decisions) != 2 || report.Decisions[1].Get("status") != "502" || report.Unread != 1 {
		t.Errorf("got %+v", report)
	}
	if len(report.Beliefs) != 1 || report.Beliefs[0].Message != "store lost" || report.Beliefs[0].VM != "a" {
		t.Errorf("state changes %+v", report.Beliefs)
	}
	if got := report.Explanation(); !strings.HasPrefix(got, "unknown outcome") {
		t.Errorf("explanation %q", got)
	}
}

func TestExplanations(t *testing.T) {
	tests := []struct{ desc, request, want string }{
		{"served", "id-2", "answered by the server"},
		{"unknown", "id-9", "no line about this request"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			report, err := Read(strings.NewReader(log), tt.request)
			if err != nil || !strings.HasPrefix(report.Explanation(), tt.want) {
				t.Errorf("got %q, %v", report.Explanation(), err)
			}
		})
	}
}

package config

import (
	"errors"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"fuchsiaspar/internal/model"
)

func TestValidateReportsEveryProblem(t *testing.T) {
	big := int64(5000)
	tests := []struct {
		path    string
		corrupt func(*Document)
	}{
		{"lookup.ttl", func(d *Document) { d.Lookup.TTL = 0 }},
		{"zones[0].name", func(d *Document) { d.Zones = append([]Zone{{Name: "a b", Region: "lj"}}, d.Zones...) }},
		{"zones[6].name", func(d *Document) { d.Zones = append(slices.Clone(d.Zones), d.Zones[0]) }},
		{"slots[0].zone", func(d *Document) { d.Slots = []Slot{{VM: "vm0", Zone: "none"}} }},
		{"links[0].to", func(d *Document) { d.Links[0].To = "none" }},
		{"links[0].bytes_per_second", func(d *Document) { d.Links[0].BytesPerSecond = 0 }},
		{"templates[lease].floors", func(d *Document) { d.Templates[0].Floors.Bulk = 31 }},
		{"templates[lease].places[0]", func(d *Document) { d.Templates[0].Places = []model.Zone{"none"} }},
		{"templates[lease].server.slots", func(d *Document) { d.Templates[0].Server.Slots = 0 }},
		{"templates[lease].shift_cap.default", func(d *Document) { d.Templates[0].ShiftCap.Default = 1001 }},
		{"templates[lease].classes[reserve].priority", func(d *Document) { d.Templates[0].Classes[0].Priority = model.PriorityBulk }},
		{"templates[lease].classes[any].path_prefix", func(d *Document) { d.Templates[0].Classes[1].PathPrefix = "x" }},
		{"templates[lease].classes[any].deadline", func(d *Document) { d.Templates[0].Classes[1].Deadline = 0 }},
		{"accounts[acct0].services[lease].shift_cap", func(d *Document) { d.Accounts[0].Services[0].ShiftCap = &big }},
		{"accounts[acct0].services[0].template", func(d *Document) { d.Accounts[0].Services[0].Template = "none" }},
		{"accounts[acct0].services[lease].classes[reserve].priority", func(d *Document) {
			d.Accounts[0].Services[0].Classes = []ClassPriority{{Class: "reserve", Priority: model.PriorityBulk}}
		}},
		{"accounts[acct1].blocks[0].prefix", func(d *Document) {
			d.Accounts[0].Blocks = manyBlocks(1)
			d.Accounts[1].Blocks = manyBlocks(1)
		}},
		{"accounts[acct0].blocks[0].prefix", func(d *Document) {
			d.Accounts[0].Blocks = manyBlocks(1)
			d.Accounts[0].Blocks[0].Prefix = netip.MustParsePrefix("10.0.0.1/8")
		}},
		{"accounts[acct0].blocks[0].places[0].zone", func(d *Document) {
			d.Accounts[0].Blocks = manyBlocks(1)
			d.Accounts[0].Blocks[0].Places[0].Zone = "none"
		}},
		{"drains[d].target", func(d *Document) { d.Drains = []Drain{testDrain(DrainZone, "none")} }},
		{"drains[d].target", func(d *Document) { d.Drains = []Drain{testDrain(DrainEntry, "none")} }},
		{"drains[d].kind", func(d *Document) { d.Drains = []Drain{testDrain("rack", "r1")} }},
		{"drains[d].end", func(d *Document) {
			drain := testDrain(DrainZone, "lj-1")
			drain.End = drain.Start
			d.Drains = []Drain{drain}
		}},
	}
	all := testDocument()
	for _, tt := range tests {
		doc := testDocument()
		tt.corrupt(doc)
		problems, _ := AsProblems(Validate(doc))
		if !slices.ContainsFunc(problems, func(p Problem) bool { return p.Path == tt.path && p.Allowed != "" }) {
			t.Errorf("want a problem at %s, got %v", tt.path, problems)
		}
		tt.corrupt(all)
	}
	const minProblems = 15
	if problems, _ := AsProblems(Validate(all)); len(problems) < minProblems {
		t.Errorf("%d problems listed at once, want at least %d:\n%v", len(problems), minProblems, problems)
	}
	if err := Validate(testDocument()); err != nil {
		t.Errorf("a valid document: %v", err)
	}
}

func testDrain(kind DrainKind, target string) Drain {
	start := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	return Drain{ID: "d", Kind: kind, Target: target, Start: start, End: start.Add(time.Hour)}
}

func TestTextFormatsRoundTrip(t *testing.T) {
	doc := testDocument()
	doc.Accounts[0].Blocks = manyBlocks(3)
	doc.Accounts[0].Services[0].Classes = []ClassPriority{{Class: "any", Priority: model.PriorityBulk}}
	doc.Drains = []Drain{testDrain(DrainZone, "lj-1")}
	formats := map[string]struct {
		marshal func(*Document) ([]byte, error)
		parse   func([]byte) (*Document, error)
	}{
		"toml": {MarshalTOML, ParseTOML},
		"json": {MarshalJSON, ParseJSON},
	}
	for name, format := range formats {
		text, err := format.marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		back, err := format.parse(text)
		if err != nil || !equalEncoding(doc, back) {
			t.Errorf("%s: %v\n%s", name, err, text)
		}
	}
}

func TestParseErrorsReportLineAndKey(t *testing.T) {
	tests := []struct {
		text string
		line int
		key  string
	}{
		{"[lookup]\nttl = \"2s\"\nttk = 3\n", 3, "lookup.ttk"},
		{"[lookup]\nttl = \"soon\"\n", 2, "lookup.ttl"},
		{"[[accounts]]\nid = \"a\"\n[[accounts.services]]\nweigth = 3\n", 4, "accounts.services.weigth"},
		{"zones = 3\n", 1, "zones"},
		{"[lookup\n", 1, ""},
	}
	for _, tt := range tests {
		_, err := ParseTOML([]byte(tt.text))
		var parse *ParseError
		if !errors.As(err, &parse) {
			t.Errorf("%q: got %v", tt.text, err)
			continue
		}
		if f := parse.Faults[0]; f.Line != tt.line || f.Key != tt.key {
			t.Errorf("%q: got %+v, want line %d and key %q", tt.text, f, tt.line, tt.key)
		}
	}
	if _, err := ParseJSON([]byte(`{"lookup": {"ttk": 3}}`)); err == nil || !strings.Contains(err.Error(), "ttk") {
		t.Errorf("JSON with an unknown key: %v", err)
	}
}

func TestDiffReportsEveryDifference(t *testing.T) {
	old := testDocument()
	old.Accounts[0].Blocks = manyBlocks(1)
	change := shiftCapChange("c", 1, "acct1", 99)
	change.DeleteAccounts = []model.AccountID{"acct0"}
	change.Drains = []Drain{testDrain(DrainZone, "lj-1")}
	next, err := Apply(old, change)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, d := range Diff(old, next) {
		lines = append(lines, d.String())
	}
	for _, want := range []string{
		"~ accounts[acct1].services[lease].shift_cap: 20 -> 99",
		"- accounts[acct0].blocks[10.0.0.0/32].places[lj-1].weight = 3",
		"+ drains[d].target = lj-1",
	} {
		if !slices.Contains(lines, want) {
			t.Errorf("missing %q in:\n%s", want, strings.Join(lines, "\n"))
		}
	}
	if d := Diff(next, next); len(d) > 0 {
		t.Errorf("differences between a document and itself: %v", d)
	}
}

func TestAppliedDifferenceYieldsTheOtherDocument(t *testing.T) {
	old, next := testDocument(), testDocument()
	next.Lookup.TTL = model.Duration(3 * time.Second)
	next.Links = nil
	next.Accounts = []Account{testAccount("acct1", 20), testAccount("acct2", 5)}
	change := ChangeBetween(old, next)
	if got, want := change.Keys(), []Key{"account/acct0", "account/acct2", "links", "lookup"}; !slices.Equal(got, want) {
		t.Errorf("keys %v, want %v", got, want)
	}
	got, err := Apply(old, change)
	if err != nil {
		t.Fatal(err)
	}
	if differences := Diff(next, got); len(differences) > 0 {
		t.Errorf("unexpected differences: %v", differences)
	}
	if _, err := Apply(old, ChangeBetween(old, old)); err == nil {
		t.Error("an empty change is accepted")
	}
}

func TestSnapshotAppliesAccountParameters(t *testing.T) {
	doc := testDocument()
	doc.Accounts[0].Services[0].Classes = []ClassPriority{{Class: "any", Priority: model.PriorityBulk}}
	doc.Accounts[1].Services[0].ShiftCap = nil
	s := NewSnapshot(doc)
	tests := []struct {
		account  model.AccountID
		method   string
		path     string
		class    string
		priority model.Priority
	}{
		{"acct0", "POST", "/reservations/1", "reserve", model.PriorityUrgent},
		{"acct0", "GET", "/reservations/1", "any", model.PriorityBulk},
		{"acct1", "GET", "/", "any", model.PriorityNormal},
		{"nobody", "GET", "/", "", 0},
	}
	for _, tt := range tests {
		class, ok := s.Classify(tt.account, "lease-desk", tt.method, tt.path)
		if ok != (tt.class != "") || class.Name != tt.class || class.Priority != tt.priority {
			t.Errorf("%+v: got %s %v", tt, class.Name, class.Priority)
		}
	}
	if limit, ok := s.ShiftCap("acct1", "lease-desk"); !ok || limit != 100 {
		t.Errorf("default shift cap: %d, %v", limit, ok)
	}
	if region, ok := s.ZoneRegion("kp-1"); !ok || region != "kp" {
		t.Errorf("region of kp-1: %s, %v", region, ok)
	}
	allocs := testing.AllocsPerRun(100, func() { s.Classify("acct0", "lease-desk", "GET", "/x") })
	if allocs > 0 {
		t.Errorf("Classify allocates %v times", allocs)
	}
}

func FuzzParseTOML(f *testing.F) {
	text, err := MarshalTOML(testDocument())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("[[accounts]]\nid = \"a\"\n[[accounts.blocks]]\nprefix = \"10.0.0.0/8\"\n"))
	f.Add([]byte("[[drains]]\nid = \"d\"\nstart = 2030-01-01T00:00:00Z\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := ParseTOML(text)
		if err != nil {
			return
		}
		if Validate(doc) != nil {
			return
		}
		again, err := MarshalTOML(doc)
		if err != nil {
			t.Fatalf("can't encode a valid document: %v", err)
		}
		back, err := ParseTOML(again)
		if err != nil || !equalEncoding(doc, back) {
			t.Fatalf("round trip changes a valid document: %v\n%s", err, again)
		}
		checkObjectRoundTrip(t, doc)
	})
}

// checkObjectRoundTrip fails the test if doc can't be encoded to objects and
// decoded from them.
func checkObjectRoundTrip(t *testing.T, doc *Document) {
	t.Helper()
	stored, err := encodeObjects(doc, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decodeObjects(doc.Revision, stored); err != nil {
		t.Fatalf("can't decode a valid document from its objects: %v", err)
	}
}

func FuzzParseChangeTOML(f *testing.F) {
	f.Add([]byte("delete_accounts = [\"acct0\"]\n[lookup]\nttl = \"1s\"\n"))
	f.Add([]byte("[[accounts]]\nid = \"x\"\n[[accounts.services]]\ntemplate = \"lease\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		change, err := ParseChangeTOML(text)
		if err != nil {
			return
		}
		next, err := Apply(testDocument(), *change)
		if err != nil {
			return
		}
		if err := Validate(next); err != nil {
			t.Fatalf("an applied change results in an invalid document: %v", err)
		}
	})
}

package settings

import (
	"strings"
	"testing"

	"github.com/pkg/errors"
)

const valid = `
[vm]
name = "lj-a-1"
zone = "lj-a"
region = "lj"
listen = "127.0.0.1:7400"

[platform]
address = "127.0.0.1:7300"
`

func TestParse(t *testing.T) {
	tests := []struct {
		desc string
		text string
		want []string
	}{
		{desc: "valid", text: valid},
		{desc: "several problems",
			text: "[vm]\nname = \"Bad Name\"\nzone = \"a\"\nregion = \"r\"\nlisten = \"localhost\"\n[log]\nlevel = \"loud\"\n",
			want: []string{"vm.name", "vm.listen", "platform.address", "log.level"}},
		{desc: "unknown key", text: valid + "\n[vmm]\nx = 1\n", want: []string{"vmm", "a known key"}},
		{desc: "wrong type", text: strings.Replace(valid, `"lj-a-1"`, "7", 1), want: []string{"test.toml:3", "vm.name"}},
		{desc: "not TOML", text: "[vm", want: []string{"test.toml:1"}},
		{desc: "duration out of range", text: valid + "\n[limits]\nticket_validity = \"3h\"\n",
			want: []string{"limits.ticket_validity", "1s to 1h0m0s"}},
	}
	for _, test := range tests {
		t.Run(test.desc, func(t *testing.T) {
			s, err := Parse("test.toml", []byte(test.text))
			if len(test.want) == 0 {
				if err != nil {
					t.Fatal(err)
				}
				if s.VM.Advertise != s.VM.Listen {
					t.Fatalf("advertise %q, want the listen address", s.VM.Advertise)
				}
				return
			}
			var problems Problems
			if !errors.As(err, &problems) {
				t.Fatalf("got error %v, want Problems", err)
			}
			for _, part := range test.want {
				if !strings.Contains(err.Error(), part) {
					t.Errorf("error lacks %q:\n%v", part, err)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("[vm]\nname = 3\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("fuzz.toml", text)
		if err == nil && len(s.validate("fuzz.toml")) > 0 {
			t.Fatal("Parse accepted settings that fail validation")
		}
	})
}

package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

type listenSection struct {
	Address string        `ini:"address" example:"127.0.0.1:8080" help:"address and port"`
	Timeout time.Duration `ini:"timeout" default:"5s" min:"1ms" max:"1h" help:"time limit of one read"`
	Limit   int64         `ini:"limit" default:"10" min:"1" unit:"requests" help:"requests at a time"`
	Mode    string        `ini:"mode" default:"fast" oneof:"fast,safe" help:"mode"`
	Debug   bool          `ini:"debug" default:"no" help:"debug output"`
	Peers   []string      `ini:"peers" default:"" help:"addresses of peers"`
}

type testSettings struct {
	Listen listenSection `ini:"listen"`
}

func TestParse(t *testing.T) {
	got, err := Parse[testSettings]("s.ini", []byte("[listen]\naddress = :1\ntimeout = 250ms\npeers = a, b\ndebug = yes\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := testSettings{Listen: listenSection{Address: ":1", Timeout: 250 * time.Millisecond, Limit: 10, Mode: "fast", Debug: true, Peers: []string{"a", "b"}}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("settings differ (-want +got):\n%s", diff)
	}
}

// Guards against ignoring a mistake in a settings file.
func TestParseRejects(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"unknown key":     {"address = :1\ntimeuot = 1s", "s.ini:3: [listen] timeuot: unknown key; accepted: address, timeout"},
		"no unit":         {"address = :1\ntimeout = 5", "s.ini:3: [listen] timeout: \"5\" is not a duration"},
		"over the range":  {"address = :1\ntimeout = 2h", "outside the range; max is 1h"},
		"below the range": {"address = :1\nlimit = 0", "0 is below the minimum of 1 (unit: requests)"},
		"not accepted":    {"address = :1\nmode = slow", "accepted: fast, safe"},
		"duplicate key":   {"address = :1\naddress = :2", "s.ini:3: [listen] address: duplicate key, first on line 2"},
		"open quote":      {"mode = fast\naddress = \"abc\nlimit = 2", "s.ini:3: [listen] address: value is not accepted; accepted: text without quotes"},
		"missing":         {"limit = 1", "address: required key is missing"},
		"unknown section": {"address = :1\n[lisen]", "s.ini:3: [lisen]: unknown section; accepted: listen"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Parse[testSettings]("s.ini", []byte("[listen]\n"+tc.text+"\n"))
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("Parse error = %v, want %q", err, tc.want)
			}
		})
	}
}

// Guards against a sample file that the program itself rejects.
func TestSampleParses(t *testing.T) {
	sample := Sample[testSettings]()
	if _, err := Parse[testSettings]("sample.ini", []byte(sample)); err != nil {
		t.Errorf("Parse(Sample()) = %v\n%s", err, sample)
	}
}

// Guards against an error for a missing file that does not contain its name or
// mention how to create one.
func TestLoadNamesTheMissingFile(t *testing.T) {
	_, err := Load[testSettings]("no-such.ini")
	if err == nil || !strings.Contains(err.Error(), "no-such.ini") || !strings.Contains(err.Error(), "--sample") {
		t.Errorf("Load error = %v, want the file name and --sample", err)
	}
}

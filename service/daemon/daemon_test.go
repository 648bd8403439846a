package daemon

import (
	"errors"
	"strings"
	"testing"
)

// Guards against --check starting the program, and against wrong exit codes.
func TestExecute(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
		want string
	}{
		"help":         {[]string{"--help"}, exitOK, "settings file (default: test.ini)"},
		"version":      {[]string{"--version"}, exitOK, "test revision "},
		"sample":       {[]string{"--sample"}, exitOK, "[section]"},
		"check":        {[]string{"--check"}, exitFailed, "test: checked test.ini"},
		"run":          {[]string{"--config", "other.ini"}, exitFailed, "test: ran other.ini"},
		"load fails":   {[]string{"--config", "missing"}, exitFailed, "test: no such file"},
		"unknown flag": {[]string{"--bogus"}, exitUsage, "test: unknown flag"},
	}
	p := Program[string]{
		Name: "test", DefaultConfigFile: "test.ini",
		Sample: func() string { return "[section]\n" },
		Load: func(path string) (string, error) {
			if path == "missing" {
				return "", errors.New("no such file")
			}
			return path, nil
		},
		Check: func(s string) error { return errors.New("checked " + s) },
		Run:   func(s string) error { return errors.New("ran " + s) },
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			if code := p.Execute(tc.args, &out, &out); code != tc.code || !strings.Contains(out.String(), tc.want) {
				t.Errorf("exit code %d, want %d with %q:\n%s", code, tc.code, tc.want, out.String())
			}
		})
	}
}

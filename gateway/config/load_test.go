package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against errors for inconsistent or invalid settings that lack the section,
// the key or the accepted values.
func TestLoadReportsSectionAndKey(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"no tables":  {Sample(), "[tables] routes: accepted: routes and pools together"},
		"TLS key":    {strings.Replace(Sample(), "# caller_key =", "caller_key = k", 1), "[tls] caller_certificate: accepted: caller_certificate and caller_key together"},
		"objectives": {strings.Replace(Sample(), "# rules =", "rules = */1k first_token=1s #", 1), "[objectives] rules: \"*/1k\" is not accepted"},
		"wrong unit": {strings.Replace(Sample(), "# write_timeout = ", "write_timeout = 5\n# ", 1), "[callers] write_timeout: \"5\" is not a duration"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "s.ini")
			if err := os.WriteFile(path, []byte(tc.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := Load(path)
			if err == nil || !strings.Contains(err.Error(), tc.want) {
				t.Errorf("Load error = %v, want %q", err, tc.want)
			}
		})
	}
}

package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against errors for invalid or inconsistent settings that do not name
// the line or the accepted values.
func TestLoadErrorNamesLineAndAcceptedValues(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"TLS key":      {"[tls]\nkey = k\n" + strings.Replace(Sample(), "[tls]", "", 1), "s.ini:1: [tls] certificate: accepted: certificate, key and authority together"},
		"wrong choice": {strings.Replace(Sample(), "# kind = model", "kind = engine", 1), "[endpoint] kind: \"engine\" is not accepted; accepted: model, plain"},
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

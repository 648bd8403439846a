package buildinfo

import (
	"runtime"
	"runtime/debug"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against programs whose sources cannot be told from their logs: a failure that was seen
// elsewhere can then not be matched to a revision.
func TestInfo(t *testing.T) {
	platform := ", " + runtime.Version() + " " + runtime.GOOS + "/" + runtime.GOARCH
	tests := map[string]struct {
		settings []debug.BuildSetting
		want     Info
		wantText string
	}{
		"clean":       {[]debug.BuildSetting{{Key: "vcs", Value: "git"}, {Key: "vcs.revision", Value: "e5f8d2a"}, {Key: "vcs.time", Value: "2026-12-07T19:03:22Z"}, {Key: "vcs.modified", Value: "false"}}, Info{Revision: "e5f8d2a", Time: "2026-12-07T19:03:22Z"}, "revision e5f8d2a of 2026-12-07T19:03:22Z" + platform},
		"modified":    {[]debug.BuildSetting{{Key: "vcs.revision", Value: "e5f8d2a"}, {Key: "vcs.modified", Value: "true"}}, Info{Revision: "e5f8d2a", IsModified: true}, "revision e5f8d2a (modified)" + platform},
		"no revision": {nil, Info{Revision: "unknown"}, "revision unknown" + platform},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			got := fromSettings(tc.settings)
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Errorf("info (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tc.wantText, got.String()); diff != "" {
				t.Errorf("text (-want +got):\n%s", diff)
			}
		})
	}
}

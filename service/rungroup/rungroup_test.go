package rungroup

import (
	"context"
	"errors"
	"strings"
	"testing"
)

// Guards against a task that continues after another one has failed.
func TestTasksStopTogether(t *testing.T) {
	var g Group
	stopped := make(chan struct{})
	g.Add("listener", func(ctx context.Context) error {
		<-ctx.Done()
		close(stopped)
		return nil
	})
	g.Add("control", func(context.Context) error { return errors.New("broken") })
	err := g.Run()
	if err == nil || !strings.Contains(err.Error(), "control: broken") {
		t.Errorf("Run() = %v, want control: broken", err)
	}
	<-stopped
}

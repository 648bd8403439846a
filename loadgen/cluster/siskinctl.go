package cluster

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// RunSiskinctl runs siskinctl against the cluster's store. An error includes the
// output of the command.
func (c *Cluster) RunSiskinctl(ctx context.Context, arguments ...string) error {
	_, err := c.SiskinctlOutput(ctx, arguments...)
	return err
}

// SiskinctlOutput runs siskinctl like RunSiskinctl and returns its combined
// output.
func (c *Cluster) SiskinctlOutput(ctx context.Context, arguments ...string) (string, error) {
	arguments = append([]string{"--store", c.Layout.StoreAddress}, arguments...)
	out, err := exec.CommandContext(ctx, filepath.Join(c.config.Binaries, "siskinctl"), arguments...).CombinedOutput()
	if err != nil {
		return string(out), fmt.Errorf("siskinctl %s: %w\n%s", strings.Join(arguments, " "), err, out)
	}
	return string(out), nil
}

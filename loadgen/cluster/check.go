package cluster

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	engineapi "siskinstand.example/adapters/engine"
	"siskinstand.example/fakes/engine"
	"siskinstand.example/fakes/plainservice"
)

func get(ctx context.Context, url string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil, fmt.Errorf("GET %s: unexpected status %d", url, response.StatusCode)
	}
	return response, nil
}

// GetJSON sends a GET request and decodes the JSON response into target.
func GetJSON(ctx context.Context, url string, target any) error {
	response, err := get(ctx, url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(target)
}

// ReceivedRequests returns the number of requests that the engines and plain services
// of an availability zone have received. Of an engine it counts a repeated attempt ID
// once, includes queued requests and leaves out rejected ones.
func (c *Cluster) ReceivedRequests(ctx context.Context, zone string) (int64, error) {
	var sum int64
	for _, e := range c.Layout.Endpoints {
		if e.Zone != zone {
			continue
		}
		counters := "http://" + e.BackendAddress + "/control/counters"
		var model engine.Counters
		var plain plainservice.Counters
		var err error
		if e.IsPlain {
			err = GetJSON(ctx, counters, &plain)
		} else {
			err = GetJSON(ctx, counters, &model)
		}
		if err != nil {
			return 0, err
		}
		sum += int64(len(model.Attempts)) + plain.Calls
	}
	return sum, nil
}

// RunCount returns how often the plain services ran the call with the given
// idempotency key.
func (c *Cluster) RunCount(ctx context.Context, key string) (int, error) {
	sum := 0
	for _, e := range c.Layout.Endpoints {
		if !e.IsPlain {
			continue
		}
		var n int
		if err := GetJSON(ctx, "http://"+e.BackendAddress+"/control/runs?key="+url.QueryEscape(key), &n); err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// RunCounts returns the number of runs of each plain call by idempotency key.
func (c *Cluster) RunCounts(ctx context.Context) (map[string]int, error) {
	all := map[string]int{}
	read := map[string]bool{}
	for _, e := range c.Layout.Endpoints {
		if !e.IsPlain || read[e.BackendAddress] {
			continue
		}
		read[e.BackendAddress] = true
		var runs map[string]int
		if err := GetJSON(ctx, "http://"+e.BackendAddress+"/control/all_runs", &runs); err != nil {
			return nil, err
		}
		for key, n := range runs {
			all[key] += n
		}
	}
	return all, nil
}

// EngineCounters returns the counters of each engine by endpoint name.
func (c *Cluster) EngineCounters(ctx context.Context) (map[string]engine.Counters, error) {
	all := map[string]engine.Counters{}
	for _, e := range c.Layout.Endpoints {
		if e.IsPlain {
			continue
		}
		var counters engine.Counters
		if err := GetJSON(ctx, "http://"+e.BackendAddress+"/control/counters", &counters); err != nil {
			return nil, err
		}
		all[e.Name] = counters
	}
	return all, nil
}

// PostControl posts a JSON object to a fake: to /control the switches to change, to
// /control/restart the parameters of the restart, and to /control/crash an object that
// the fake ignores.
func PostControl(ctx context.Context, address, path, body string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("POST http://%s%s: unexpected status %d", address, path, response.StatusCode)
	}
	return nil
}

// ReadGauge returns the value of a process's first metric whose name or labels
// contain name. ok is false if the metrics can't be read or have no such value.
func ReadGauge(ctx context.Context, adminAddress, name string) (value float64, ok bool) {
	response, err := get(ctx, "http://"+adminAddress+"/metrics")
	if err != nil {
		return 0, false
	}
	defer response.Body.Close()
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		fields := strings.Fields(line)
		if !strings.HasPrefix(line, "#") && len(fields) == 2 && strings.Contains(fields[0], name) {
			value, err = strconv.ParseFloat(fields[1], 64)
			return value, err == nil
		}
	}
	return 0, false
}

// Violation is a log line in which a process reports a broken invariant.
type Violation struct {
	Process  string
	LoggedAt time.Time
	Line     string
}

// LoggedViolations returns the violations in the logs of all gateways and
// sidecars, including those that have exited.
func (c *Cluster) LoggedViolations() ([]Violation, error) {
	var list []Violation
	for name := range c.Layout.AdminAddresses() {
		data, err := os.ReadFile(c.Layout.Path(name + ".log"))
		if err != nil {
			return nil, err
		}
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, "invariant violated") {
				list = append(list, Violation{name, logTime(line), strings.TrimSpace(line)})
			}
		}
	}
	return list, nil
}

// logTime parses the timestamp of a klog line. The format has no year, so the
// current year is assumed.
func logTime(line string) time.Time {
	const layout = "0102 15:04:05.000000"
	if len(line) <= len(layout) {
		return time.Time{}
	}
	at, err := time.ParseInLocation(layout, line[1:1+len(layout)], time.Local)
	if err != nil {
		return time.Time{}
	}
	return at.AddDate(time.Now().Year(), 0, 0)
}

// HeldTokens returns the tokens of engine memory allocated for anything but
// cached prefixes, and a description of one such allocation.
func (c *Cluster) HeldTokens(ctx context.Context) (int64, string, error) {
	var sum int64
	example := ""
	for _, e := range c.Layout.Endpoints {
		if e.IsPlain {
			continue
		}
		var state engineapi.State
		if err := GetJSON(ctx, "http://"+e.BackendAddress+"/engine/state", &state); err != nil {
			return 0, "", err
		}
		for _, a := range state.Allocations {
			if a.Kind != engineapi.AllocationPrefix {
				sum += a.Tokens
				example = fmt.Sprintf("%s %s at %s", a.Kind, a.ID, e.Name)
			}
		}
	}
	return sum, example, nil
}

// CheckNoColdOverload fails if an engine was so overloaded while cold that its speed
// collapsed.
func (c *Cluster) CheckNoColdOverload(ctx context.Context) error {
	for _, e := range c.Layout.Endpoints {
		if e.IsPlain {
			continue
		}
		var counters engine.Counters
		if err := GetJSON(ctx, "http://"+e.BackendAddress+"/control/counters", &counters); err != nil {
			return err
		}
		if n := counters.CollapsedSteps; n > 0 {
			return fmt.Errorf("invariant ramp_limit broken: %s collapsed for %d steps while it was cold", e.Name, n)
		}
	}
	return nil
}

// CheckFleetStatus fails if a process is behind the newest configuration revision,
// is unreachable or has raised an alarm.
func (c *Cluster) CheckFleetStatus(ctx context.Context) error {
	var arguments []string
	for _, g := range c.Layout.Gateways {
		arguments = append(arguments, "--gateway", g.PeerAddress)
	}
	return c.RunSiskinctl(ctx, append(arguments, "status")...)
}

// CheckMemoryReleased fails if, after the load has ended, the engines don't release
// all allocations other than cached prefixes within 12 s.
func (c *Cluster) CheckMemoryReleased(ctx context.Context) error {
	const releaseTimeout = 12 * time.Second
	deadline := time.Now().Add(releaseTimeout)
	for _, e := range c.Layout.Endpoints {
		if e.IsPlain {
			continue
		}
		for {
			var state engineapi.State
			if err := GetJSON(ctx, "http://"+e.BackendAddress+"/engine/state", &state); err != nil {
				return err
			}
			held := heldAllocation(state)
			if held == "" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("invariant memory_owner broken: %s still holds %s after %s", e.Name, held, releaseTimeout)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func heldAllocation(state engineapi.State) string {
	for _, a := range state.Allocations {
		if a.Kind != engineapi.AllocationPrefix {
			return fmt.Sprintf("%s %s", a.Kind, a.ID)
		}
	}
	return ""
}

// metricsPublishDelay exceeds the interval at which processes publish their
// counters.
const metricsPublishDelay = 1500 * time.Millisecond

// CheckViolationMetrics fails if the metrics of a process count an invariant
// violation.
func (c *Cluster) CheckViolationMetrics(ctx context.Context) error {
	time.Sleep(metricsPublishDelay)
	for name, admin := range c.Layout.AdminAddresses() {
		response, err := get(ctx, "http://"+admin+"/metrics")
		if err != nil {
			return err
		}
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			if value, line := parseViolationMetric(scanner.Text()); value > 0 {
				response.Body.Close()
				return fmt.Errorf("%s counted invariant violations: %s", name, line)
			}
		}
		response.Body.Close()
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}

// parseViolationMetric returns the value of a line in the Prometheus text format
// and the line if it counts invariant violations, and zero otherwise.
func parseViolationMetric(line string) (float64, string) {
	if strings.HasPrefix(line, "#") || !strings.Contains(line, "invariant_violations") {
		return 0, ""
	}
	fields := strings.Fields(line)
	value, err := strconv.ParseFloat(fields[len(fields)-1], 64)
	if err != nil {
		return 0, ""
	}
	return value, line
}

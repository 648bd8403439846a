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
		return nil, fmt.Errorf("%s answered with status %d", url, response.StatusCode)
	}
	return response, nil
}

// GetJSON decodes the answer to a GET request.
func GetJSON(ctx context.Context, url string, target any) error {
	response, err := get(ctx, url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(target)
}

// Started returns how many requests the endpoints of a zone have started.
func (c *Cluster) Started(ctx context.Context, zone string) (int64, error) {
	var sum int64
	for _, e := range c.Layout.Endpoints {
		if e.Zone != zone {
			continue
		}
		counters := "http://" + e.Backend + "/control/counters"
		var model engine.Counters
		var plain plainservice.Counters
		var err error
		if e.Plain {
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

// Runs returns how often the plain call with a key ran.
func (c *Cluster) Runs(ctx context.Context, key string) (int, error) {
	sum := 0
	for _, e := range c.Layout.Endpoints {
		if !e.Plain {
			continue
		}
		var n int
		if err := GetJSON(ctx, "http://"+e.Backend+"/control/runs?key="+url.QueryEscape(key), &n); err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
}

// AllRuns returns how often the plain call of each key ran.
func (c *Cluster) AllRuns(ctx context.Context) (map[string]int, error) {
	all := map[string]int{}
	read := map[string]bool{}
	for _, e := range c.Layout.Endpoints {
		if !e.Plain || read[e.Backend] {
			continue
		}
		read[e.Backend] = true
		var runs map[string]int
		if err := GetJSON(ctx, "http://"+e.Backend+"/control/all_runs", &runs); err != nil {
			return nil, err
		}
		for key, n := range runs {
			all[key] += n
		}
	}
	return all, nil
}

// EngineCounters returns the counters of each engine by endpoint.
func (c *Cluster) EngineCounters(ctx context.Context) (map[string]engine.Counters, error) {
	all := map[string]engine.Counters{}
	for _, e := range c.Layout.Endpoints {
		if e.Plain {
			continue
		}
		var counters engine.Counters
		if err := GetJSON(ctx, "http://"+e.Backend+"/control/counters", &counters); err != nil {
			return nil, err
		}
		all[e.Name] = counters
	}
	return all, nil
}

// Switch changes switches of a stand-in, given as a JSON object.
func Switch(ctx context.Context, address, path, switches string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(switches))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s%s answered with status %d", address, path, response.StatusCode)
	}
	return nil
}

// Gauge reads a value from a process's metrics; ok is false without an answer.
func Gauge(ctx context.Context, admin, name string) (value float64, ok bool) {
	response, err := get(ctx, "http://"+admin+"/metrics")
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

// Violation is one line that a process logged on a broken invariant.
type Violation struct {
	Process string
	At      time.Time
	Line    string
}

// LoggedViolations returns what processes logged, including processes that have
// ended since.
func (c *Cluster) LoggedViolations() ([]Violation, error) {
	var list []Violation
	for name := range c.Layout.Admins() {
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

// logTime reads the time of a line in klog's format, which has no year.
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

// HeldTokens returns the engine memory in use other than cached prefixes.
func (c *Cluster) HeldTokens(ctx context.Context) (int64, string, error) {
	var sum int64
	example := ""
	for _, e := range c.Layout.Endpoints {
		if e.Plain {
			continue
		}
		var state engineapi.State
		if err := GetJSON(ctx, "http://"+e.Backend+"/engine/state", &state); err != nil {
			return 0, "", err
		}
		for _, p := range state.Allocations {
			if p.Kind != engineapi.AllocationPrefix {
				sum += p.Tokens
				example = fmt.Sprintf("%s %s at %s", p.Kind, p.ID, e.Name)
			}
		}
	}
	return sum, example, nil
}

// CheckCold fails if a cold engine got more work than it can handle.
func (c *Cluster) CheckCold(ctx context.Context) error {
	for _, e := range c.Layout.Endpoints {
		if e.Plain {
			continue
		}
		var counters engine.Counters
		if err := GetJSON(ctx, "http://"+e.Backend+"/control/counters", &counters); err != nil {
			return err
		}
		if n := counters.CollapsedSteps; n > 0 {
			return fmt.Errorf("invariant ramp_limit broken: %s collapsed for %d steps while it was cold", e.Name, n)
		}
	}
	return nil
}

// CheckFleet fails if a process is behind the newest revision or has an alarm.
func (c *Cluster) CheckFleet(ctx context.Context) error {
	var arguments []string
	for _, g := range c.Layout.Gateways {
		arguments = append(arguments, "--gateway", g.Peers)
	}
	return c.Control(ctx, append(arguments, "status")...)
}

// CheckMemory fails if an engine holds memory other than cached prefixes after
// the load has ended.
func (c *Cluster) CheckMemory(ctx context.Context) error {
	const settle = 12 * time.Second
	deadline := time.Now().Add(settle)
	for _, e := range c.Layout.Endpoints {
		if e.Plain {
			continue
		}
		for {
			var state engineapi.State
			if err := GetJSON(ctx, "http://"+e.Backend+"/engine/state", &state); err != nil {
				return err
			}
			held := heldPiece(state)
			if held == "" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("invariant memory_owner broken: %s still holds %s after %s", e.Name, held, settle)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func heldPiece(state engineapi.State) string {
	for _, p := range state.Allocations {
		if p.Kind != engineapi.AllocationPrefix {
			return fmt.Sprintf("%s %s", p.Kind, p.ID)
		}
	}
	return ""
}

// metricsDelay is longer than the interval at which processes publish counts.
const metricsDelay = 1500 * time.Millisecond

// CheckMetrics fails if a process counted a violation of an invariant.
func (c *Cluster) CheckMetrics(ctx context.Context) error {
	time.Sleep(metricsDelay)
	for name, admin := range c.Layout.Admins() {
		response, err := get(ctx, "http://"+admin+"/metrics")
		if err != nil {
			return err
		}
		scanner := bufio.NewScanner(response.Body)
		for scanner.Scan() {
			if value, line := violations(scanner.Text()); value > 0 {
				response.Body.Close()
				return fmt.Errorf("%s counted violations: %s", name, line)
			}
		}
		response.Body.Close()
		if err := scanner.Err(); err != nil {
			return err
		}
	}
	return nil
}

// violations reads one line of the Prometheus text format.
func violations(line string) (float64, string) {
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

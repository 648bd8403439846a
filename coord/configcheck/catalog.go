package configcheck

import (
	"slices"
	"strings"
	"time"

	"siskinstand.example/coord/catalog"
)

// Kinds of sections and keys in findings of CheckCatalog. The reader of a document
// replaces them by the names that the document uses.
const (
	SectionRoute   = "route"
	SectionService = "service"
	SectionAccount = "account"
	SectionLimits  = "limits"

	KeyName           = "name"
	KeyPrefix         = "prefix"
	KeySplit          = "split"
	KeyTimeout        = "timeout"
	KeyObjective      = "objective"
	KeyGapObjective   = "gap_objective"
	KeyAttempts       = "attempts"
	KeyKeys           = "keys"
	KeyMaxConnections = "max_connections"
	KeySlots          = "slots"
	KeyMemoryTokens   = "memory_tokens"
	KeyDelays         = "delays"
	KeyColdRate       = "cold_rate"
	KeyHeaderBytes    = "header_bytes"
	KeyBodyBytes      = "body_bytes"
	KeyHeaderTimeout  = "header_timeout"
)

// CheckCatalog reports the mistakes in a catalog that decoding accepts. The findings
// have no file.
func CheckCatalog(c catalog.Config, hosts Hosts) []Finding {
	rep := &report{}
	services := map[string]bool{}
	for _, s := range c.Services {
		if services[s.Name] {
			rep.warn(SectionService+" "+s.Name, KeyName, "a later service of the same name replaces this one")
		}
		services[s.Name] = true
		checkService(rep, s, c.Routes, hosts)
	}
	for i, r := range c.Routes {
		checkRouteTarget(rep, r, c.Routes[:i], services)
		checkRouteLimits(rep, r)
	}
	checkAccounts(rep, c)
	checkLimits(rep, c.Limits, hosts)
	return rep.list
}

func checkRouteTarget(rep *report, r catalog.Route, before []catalog.Route, services map[string]bool) {
	section := SectionRoute + " " + r.Name
	for _, earlier := range before {
		if earlier.Host == r.Host && earlier.Prefix == r.Prefix {
			rep.warn(section, KeyPrefix, "the route never matches: route %q has the same host and prefix", earlier.Name)
			break
		}
	}
	if !strings.HasPrefix(r.Prefix, "/") {
		rep.warn(section, KeyPrefix, "the route never matches: no path begins with %q", r.Prefix)
	}
	total := 0
	for _, s := range r.TrafficSplit {
		if !services[s.Service] {
			rep.warn(section, KeySplit, "unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			rep.warn(section, KeySplit, "weight %d of service %q is negative", s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		rep.warn(section, KeySplit, "the sum of the weights is %d", total)
	}
}

func checkRouteLimits(rep *report, r catalog.Route) {
	section := SectionRoute + " " + r.Name
	for _, v := range []struct {
		key  string
		time time.Duration
	}{{KeyTimeout, r.Timeout}, {KeyObjective, r.Objective}, {KeyGapObjective, r.GapObjective}} {
		if v.time < 0 {
			rep.warn(section, v.key, "%v is negative", v.time)
		}
	}
	if r.MaxAttempts > 1 && !r.Repeatable() {
		rep.warn(section, KeyAttempts, "%d attempts, but a request that may have run is not repeated", r.MaxAttempts)
	}
	if r.Timeout <= 0 {
		return
	}
	switch {
	case r.Objective > r.Timeout:
		rep.warn(section, KeyObjective, "the objective of %v is beyond the time limit of %v", r.Objective, r.Timeout)
	case r.MaxAttempts > 1 && r.Repeatable() && r.Objective > r.Timeout/time.Duration(r.MaxAttempts):
		rep.warn(section, KeyAttempts, "%d attempts of %v do not fit into the time limit of %v", r.MaxAttempts, r.Objective, r.Timeout)
	}
	if r.GapObjective > r.Timeout {
		rep.warn(section, KeyGapObjective, "the gap objective of %v is beyond the time limit of %v", r.GapObjective, r.Timeout)
	}
}

func checkService(rep *report, s catalog.Service, routes []catalog.Route, hosts Hosts) {
	section := SectionService + " " + s.Name
	refers := func(r catalog.Route) bool {
		return slices.ContainsFunc(r.TrafficSplit, func(w catalog.WeightedService) bool { return w.Service == s.Name && w.Weight > 0 })
	}
	if !slices.ContainsFunc(routes, refers) {
		rep.warn(section, "", "no route sends requests to this service")
	}
	if hosts.Descriptors > 0 && s.MaxConnections > hosts.Descriptors {
		rep.warn(section, KeyMaxConnections, "%d connections to one replica are more than the %d descriptors of the smallest host", s.MaxConnections, hosts.Descriptors)
	}
	if s.ColdRequestsPerSecond > 0 && s.ColdDuration <= 0 {
		rep.warn(section, KeyColdRate, "has no effect without a warm-up time")
	}
	e := s.Engine
	if e == nil {
		return
	}
	if s.MaxConnections > 0 && e.Slots > s.MaxConnections {
		rep.warn(section, KeySlots, "%d slots cannot be used with at most %d connections", e.Slots, s.MaxConnections)
	}
	if e.MemoryTokens > 0 && e.MeanPromptTokens+e.MeanAnswerTokens > e.MemoryTokens {
		rep.warn(section, KeyMemoryTokens, "a usual request of %d tokens does not fit into memory for %d", e.MeanPromptTokens+e.MeanAnswerTokens, e.MemoryTokens)
	}
	checkDelays(rep, section, e, hosts)
}

func checkDelays(rep *report, section string, e *catalog.Engine, hosts Hosts) {
	var unknown []string
	for pair := range e.Delays {
		for _, zone := range []string{pair.From, pair.To} {
			if hosts.lacksZone(zone) && !slices.Contains(unknown, zone) {
				unknown = append(unknown, zone)
			}
		}
	}
	slices.Sort(unknown)
	for _, zone := range unknown {
		rep.warn(section, KeyDelays, "no host is in zone %q", zone)
	}
}

func checkAccounts(rep *report, c catalog.Config) {
	owner, names := map[string]string{}, map[string]bool{}
	private := slices.ContainsFunc(c.Routes, func(r catalog.Route) bool { return !r.Public })
	for _, a := range c.Accounts {
		section := SectionAccount + " " + a.Name
		if names[a.Name] {
			rep.warn(section, KeyName, "an earlier account has the same name")
		}
		names[a.Name] = true
		if len(a.Keys) == 0 {
			rep.warn(section, KeyKeys, "the account has no key, so no request belongs to it")
		}
		for _, key := range a.Keys {
			if other, taken := owner[key]; taken {
				rep.warn(section, KeyKeys, "a key is already listed for account %q; the later entry counts", other)
			}
			owner[key] = a.Name
		}
		if !private {
			rep.warn(section, "", "no route needs a key, so nothing refers to this account")
		}
	}
}

func checkLimits(rep *report, l catalog.Limits, hosts Hosts) {
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		rep.warn(SectionLimits, KeyHeaderTimeout, "the header timeout of %v is beyond the idle timeout of %v", l.HeaderTimeout, l.IdleTimeout)
	}
	if l.MaxHeaderBytes < 0 {
		rep.warn(SectionLimits, KeyHeaderBytes, "%d is negative", l.MaxHeaderBytes)
	}
	if l.MaxBodyBytes < 0 || hosts.MemoryBytes > 0 && l.MaxBodyBytes > hosts.MemoryBytes {
		rep.warn(SectionLimits, KeyBodyBytes, "%d bytes are not between 0 and the memory of the smallest host, %d bytes", l.MaxBodyBytes, hosts.MemoryBytes)
	}
}

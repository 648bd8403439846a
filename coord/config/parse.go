package config

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"siskinstand.example/coord/inifile"
)

// Default timeouts of routes. They apply to requests without a deadline header.
const (
	DefaultModelTimeout = 60 * time.Second
	DefaultPlainTimeout = 5 * time.Second
)

// File is the text of one table. Name is used in error messages.
type File struct {
	Name string
	Text []byte
}

// Parse parses and validates both tables. Errors name the file and, where they
// apply, the section, key and accepted values. One invalid row fails the whole
// call, so no row is skipped silently.
func Parse(routes, pools File) (*Tables, error) {
	poolSections, err := inifile.Parse(pools.Name, pools.Text)
	if err != nil {
		return nil, err
	}
	routeSections, err := inifile.Parse(routes.Name, routes.Text)
	if err != nil {
		return nil, err
	}
	return build(routes.Name, routeSections, pools.Name, poolSections)
}

// build validates parsed sections and returns their tables. routes and pools are
// the file names for error messages.
func build(routes string, routeSections []inifile.Section, pools string, poolSections []inifile.Section) (*Tables, error) {
	t := newTables()
	if err := addSections(pools, poolSections, t.poolKinds()); err != nil {
		return nil, err
	}
	if err := addSections(routes, routeSections, t.routeKinds()); err != nil {
		return nil, err
	}
	return t, nil
}

func newTables() *Tables {
	return &Tables{
		accounts: map[string]Account{}, byToken: map[TokenHash]string{},
		routes: map[routeKey][]Route{}, byName: map[string]Route{},
		pools: map[string]Pool{}, zones: map[string]ZoneState{}, hosts: map[string]HostState{},
	}
}

func (t *Tables) poolKinds() map[string]func(*sectionReader) {
	return map[string]func(*sectionReader){"pool": t.addPool, "zone": t.addZone, "host": t.addHost}
}

func (t *Tables) routeKinds() map[string]func(*sectionReader) {
	return map[string]func(*sectionReader){"account": t.addAccount, "route": t.addRoute}
}

func addSections(file string, sections []inifile.Section, kinds map[string]func(*sectionReader)) error {
	sortAccountsFirst(sections)
	for _, s := range sections {
		if err := addSection(file, s, kinds, nil); err != nil {
			return err
		}
	}
	return nil
}

// sortAccountsFirst moves accounts before the routes that refer to them.
func sortAccountsFirst(sections []inifile.Section) {
	slices.SortStableFunc(sections, func(a, b inifile.Section) int {
		return boolToInt(strings.HasPrefix(b.Name, "account ")) - boolToInt(strings.HasPrefix(a.Name, "account "))
	})
}

// addSection adds one section. If collect is set, errors of its keys go there;
// otherwise the first one is returned.
func addSection(file string, s inifile.Section, kinds map[string]func(*sectionReader), collect func(error)) error {
	kind, name, ok := strings.Cut(s.Name, " ")
	add := kinds[kind]
	if !ok || add == nil || name == "" || strings.ContainsAny(name, " \t") {
		var accepted []string
		for kind := range kinds {
			accepted = append(accepted, "["+kind+" NAME]")
		}
		slices.Sort(accepted)
		return &inifile.Error{File: file, Line: s.Line, Section: s.Name, Message: "unknown section; accepted: " + strings.Join(accepted, ", ")}
	}
	r := &sectionReader{file: file, section: s, name: name, collect: collect}
	add(r)
	return r.finish()
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// sectionReader reads the keys of one section and keeps the first error.
type sectionReader struct {
	file     string
	section  inifile.Section
	name     string
	readKeys []string
	err      error
	// collect receives every error instead of err, if it is set.
	collect func(error)
}

func (r *sectionReader) fail(key, format string, args ...any) {
	if r.err != nil {
		return
	}
	line := r.section.Line
	if e, ok := r.section.Lookup(key); ok {
		line = e.Line
	}
	err := &inifile.Error{File: r.file, Line: line, Section: r.section.Name, Key: key, Message: fmt.Sprintf(format, args...)}
	if r.collect != nil {
		r.collect(err)
		return
	}
	r.err = err
}

func (r *sectionReader) text(key, def string) string {
	r.readKeys = append(r.readKeys, key)
	if e, ok := r.section.Lookup(key); ok {
		return e.Value
	}
	return def
}

func (r *sectionReader) required(key string) string {
	v := r.text(key, "")
	if v == "" {
		r.fail(key, "required key is missing or empty")
	}
	return v
}

func (r *sectionReader) list(key string) []string {
	var list []string
	for part := range strings.SplitSeq(r.text(key, ""), ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

func (r *sectionReader) oneOf(key, def string, accepted ...string) string {
	v := r.text(key, def)
	if !slices.Contains(accepted, v) {
		r.fail(key, "%q is not accepted; accepted: %s", v, strings.Join(accepted, ", "))
	}
	return v
}

func (r *sectionReader) number(key string, def, least, most float64) float64 {
	text := r.text(key, strconv.FormatFloat(def, 'g', -1, 64))
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= least && v <= most) {
		r.fail(key, "%q is not accepted; accepted: a number from %g to %g", text, least, most)
		return def
	}
	return v
}

func (r *sectionReader) integer(key string, def, least, most int64) int64 {
	text := r.text(key, strconv.FormatInt(def, 10))
	v, err := strconv.ParseInt(text, 10, 64)
	if err != nil || v < least || v > most {
		r.fail(key, "%q is not accepted; accepted: a whole number from %d to %d", text, least, most)
		return def
	}
	return v
}

// finish returns the first error. Keys that were not read are errors.
func (r *sectionReader) finish() error {
	for _, e := range r.section.Entries {
		if !slices.Contains(r.readKeys, e.Key) {
			r.fail(e.Key, "unknown key; accepted: %s", strings.Join(r.readKeys, ", "))
		}
	}
	return r.err
}

func (t *Tables) addPool(r *sectionReader) {
	p := Pool{
		Name:            r.name,
		Kind:            PoolKind(r.oneOf("kind", string(KindModel), string(KindModel), string(KindPlain))),
		Service:         r.required("service"),
		Model:           r.text("model", ""),
		Zones:           r.list("zones"),
		MaxPromptTokens: r.integer("max_prompt_tokens", 1_000_000, 1, 100_000_000),
	}
	if (p.Kind == KindModel) != (p.Model != "") {
		r.fail("model", "a pool of kind model needs a model, a pool of kind plain has none")
	}
	t.pools[p.Name] = p
}

func (t *Tables) addZone(r *sectionReader) {
	t.zones[r.name] = ZoneState(r.oneOf("state", string(ZoneIn), string(ZoneIn), string(ZoneOut)))
}

func (t *Tables) addHost(r *sectionReader) {
	t.hosts[r.name] = HostState(r.oneOf("state", string(HostIn), string(HostIn), string(HostLeaving)))
}

func (t *Tables) addAccount(r *sectionReader) {
	a := Account{Name: r.name, Weight: r.number("weight", 1, 0.01, 10_000)}
	texts := r.list("token_sha256")
	for _, text := range texts {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(TokenHash{}) {
			r.fail("token_sha256", "%q is not accepted; accepted: 64 hexadecimal digits", text)
			continue
		}
		hash := TokenHash(raw)
		if other, taken := t.byToken[hash]; taken {
			r.fail("token_sha256", "the token already belongs to account %q", other)
		}
		t.byToken[hash] = a.Name
		a.Tokens = append(a.Tokens, hash)
	}
	if len(texts) == 0 {
		r.fail("token_sha256", "required key is missing or empty")
	}
	t.accounts[a.Name] = a
}

func (t *Tables) addRoute(r *sectionReader) {
	route := Route{
		Name:       r.name,
		Accounts:   r.list("accounts"),
		Model:      r.text("model", ""),
		Service:    r.text("service", ""),
		Pool:       r.required("pool"),
		Repeatable: r.oneOf("repeatable", "yes", "yes", "no") == "yes",
	}
	if (route.Model == "") == (route.Service == "") {
		r.fail("model", "exactly one of model and service is needed")
	}
	def := DefaultModelTimeout
	if route.Service != "" {
		def = DefaultPlainTimeout
	}
	route.DefaultTimeout = time.Duration(r.integer("timeout_ms", def.Milliseconds(), 1, 86_400_000)) * time.Millisecond
	t.checkRoute(r, route)
	key := routeKey{model: route.Model, service: route.Service}
	t.routes[key] = append(t.routes[key], route)
	t.byName[route.Name] = route
}

func (t *Tables) checkRoute(r *sectionReader, route Route) {
	if len(route.Accounts) == 0 {
		r.fail("accounts", "required key is missing or empty")
	}
	for _, a := range route.Accounts {
		if _, ok := t.accounts[a]; !ok && a != "*" {
			r.fail("accounts", "unknown account %q", a)
		}
	}
	pool, ok := t.pools[route.Pool]
	if !ok && route.Pool != "" {
		r.fail("pool", "unknown pool %q", route.Pool)
		return
	}
	if route.Model != "" && pool.Model != route.Model {
		r.fail("model", "pool %q serves model %q", route.Pool, pool.Model)
	}
	if route.Service != "" && pool.Kind != KindPlain {
		r.fail("service", "pool %q is not of kind plain", route.Pool)
	}
	for _, other := range t.routes[routeKey{model: route.Model, service: route.Service}] {
		for _, a := range route.Accounts {
			if slices.Contains(other.Accounts, a) {
				r.fail("accounts", "account %q already reaches this target by route %q", a, other.Name)
			}
		}
	}
}

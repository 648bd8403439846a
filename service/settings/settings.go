// Package settings loads a program's INI settings file into a struct, validates every
// key and generates a commented sample file.
//
// The struct has one field per section. The section is itself a struct whose fields
// have these tags: ini (the key), default, min, max, oneof (comma separated), unit,
// help and example. A field without a default is required.
package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"siskinstand.example/coord/inifile"
)

// Load reads and validates the file at path.
func Load[T any](path string) (T, error) {
	var zero T
	data, err := os.ReadFile(path)
	if err != nil {
		return zero, eris.Wrap(err, "read settings; --sample prints a commented file")
	}
	target, err := Parse[T](path, data)
	if err != nil {
		return target, err
	}
	if validator, ok := any(target).(Validator); ok {
		return target, withLocation(path, data, validator.Validate())
	}
	return target, nil
}

// Parse parses data and validates each key. The file name is used in errors.
func Parse[T any](file string, data []byte) (T, error) {
	var target T
	sections, err := inifile.Parse(file, data)
	if err != nil {
		return target, err
	}
	value := reflect.ValueOf(&target).Elem()
	byName := map[string]inifile.Section{}
	for _, s := range sections {
		byName[s.Name] = s
	}
	var known []string
	for i := range value.NumField() {
		name := value.Type().Field(i).Tag.Get("ini")
		known = append(known, name)
		if err := setSection(file, byName[name], name, value.Field(i)); err != nil {
			return target, err
		}
	}
	for _, s := range sections {
		if !slices.Contains(known, s.Name) {
			return target, &inifile.Error{File: file, Line: s.Line, Section: s.Name, Message: "unknown section; accepted: " + strings.Join(known, ", ")}
		}
	}
	return target, nil
}

func setSection(file string, section inifile.Section, name string, target reflect.Value) error {
	var known []string
	for i := range target.NumField() {
		field := target.Type().Field(i)
		key := field.Tag.Get("ini")
		known = append(known, key)
		entry, isPresent := section.Lookup(key)
		text := entry.Value
		if !isPresent {
			def, ok := field.Tag.Lookup("default")
			if !ok {
				return &inifile.Error{File: file, Line: max(section.Line, 1), Section: name, Key: key, Message: "required key is missing: " + field.Tag.Get("help")}
			}
			text = def
		}
		if err := setField(target.Field(i), field, text); err != nil {
			return &inifile.Error{File: file, Line: max(entry.Line, 1), Section: name, Key: key, Message: err.Error()}
		}
	}
	for _, e := range section.Entries {
		if !slices.Contains(known, e.Key) {
			return &inifile.Error{File: file, Line: e.Line, Section: name, Key: e.Key, Message: "unknown key; accepted: " + strings.Join(known, ", ")}
		}
	}
	return nil
}

func setField(target reflect.Value, field reflect.StructField, text string) error {
	if target.Type() == reflect.TypeFor[time.Duration]() {
		return setDuration(target, field, text)
	}
	switch target.Kind() {
	case reflect.String:
		return setString(target, field, text)
	case reflect.Bool:
		v, ok := map[string]bool{"yes": true, "no": false}[text]
		if !ok {
			return fmt.Errorf("%q is not accepted; accepted: yes, no", text)
		}
		target.SetBool(v)
	case reflect.Int, reflect.Int64:
		v, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number%s", text, unitHint(field))
		}
		target.SetInt(v)
		return checkRange(field, float64(v))
	case reflect.Float64:
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || v != v {
			return fmt.Errorf("%q is not a number%s", text, unitHint(field))
		}
		target.SetFloat(v)
		return checkRange(field, v)
	case reflect.Slice:
		target.Set(reflect.ValueOf(splitList(text)))
	default:
		panic("settings: unsupported type " + target.Type().String())
	}
	return nil
}

func setDuration(target reflect.Value, field reflect.StructField, text string) error {
	v, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is not a duration; write a number with a unit, such as 250ms or 10s", text)
	}
	target.SetInt(int64(v))
	for tag, isOutside := range map[string]func(limit time.Duration) bool{
		"min": func(limit time.Duration) bool { return v < limit },
		"max": func(limit time.Duration) bool { return v > limit },
	} {
		limit, ok := field.Tag.Lookup(tag)
		if !ok {
			continue
		}
		bound, err := time.ParseDuration(limit)
		if err != nil {
			panic("settings: bad tag " + limit)
		}
		if isOutside(bound) {
			return fmt.Errorf("%s is outside the range; %s is %s", text, tag, limit)
		}
	}
	return nil
}

func setString(target reflect.Value, field reflect.StructField, text string) error {
	if accepted, ok := field.Tag.Lookup("oneof"); ok && !slices.Contains(splitList(accepted), text) {
		return fmt.Errorf("%q is not accepted; accepted: %s", text, strings.Join(splitList(accepted), ", "))
	}
	target.SetString(text)
	return nil
}

func checkRange(field reflect.StructField, v float64) error {
	if limit, ok := field.Tag.Lookup("min"); ok {
		if bound, _ := strconv.ParseFloat(limit, 64); v < bound {
			return fmt.Errorf("%v is below the minimum of %s%s", v, limit, unitHint(field))
		}
	}
	if limit, ok := field.Tag.Lookup("max"); ok {
		if bound, _ := strconv.ParseFloat(limit, 64); v > bound {
			return fmt.Errorf("%v is above the maximum of %s%s", v, limit, unitHint(field))
		}
	}
	return nil
}

func unitHint(field reflect.StructField) string {
	if unit := field.Tag.Get("unit"); unit != "" {
		return " (unit: " + unit + ")"
	}
	return ""
}

func splitList(text string) []string {
	var list []string
	for part := range strings.SplitSeq(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

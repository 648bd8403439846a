package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Key describes a key of the settings file.
type Key struct {
	Section string
	Name    string
	// Description is the help text with unit, range and accepted values.
	Description string
	// Default is the value if the key is missing. A required key has no default.
	Default  string
	Required bool
	// Example is the value of a required key in the sample file.
	Example string
}

// Keys returns the keys of the settings struct T in the order of its fields.
func Keys[T any]() []Key {
	var keys []Key
	root := reflect.TypeFor[T]()
	for i := range root.NumField() {
		section := root.Field(i)
		for k := range section.Type.NumField() {
			keys = append(keys, describeKey(section.Tag.Get("ini"), section.Type.Field(k)))
		}
	}
	return keys
}

func describeKey(section string, field reflect.StructField) Key {
	description := field.Tag.Get("help")
	for _, tag := range []string{"unit", "min", "max"} {
		if v, ok := field.Tag.Lookup(tag); ok {
			description += fmt.Sprintf("; %s: %s", tag, v)
		}
	}
	if v, ok := field.Tag.Lookup("oneof"); ok {
		description += "; accepted: " + strings.Join(splitList(v), ", ")
	}
	if field.Type.Kind() == reflect.Bool {
		description += "; accepted: yes, no"
	}
	def, ok := field.Tag.Lookup("default")
	return Key{Section: section, Name: field.Tag.Get("ini"), Description: description, Default: def, Required: !ok, Example: field.Tag.Get("example")}
}

// Sample returns a commented settings file. Keys with a default are commented out,
// and required keys are set to their example.
func Sample[T any]() string {
	var b strings.Builder
	section := ""
	for _, k := range Keys[T]() {
		if k.Section != section {
			if section != "" {
				b.WriteString("\n")
			}
			section = k.Section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "# %s\n", k.Description)
		if k.Required {
			fmt.Fprintf(&b, "# required\n%s = %s\n", k.Name, k.Example)
		} else {
			fmt.Fprintf(&b, "# %s\n", strings.TrimSpace(k.Name+" = "+k.Default))
		}
	}
	return b.String()
}

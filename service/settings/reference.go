package settings

import (
	"fmt"
	"reflect"
	"strings"
)

// Key describes one key of the settings.
type Key struct {
	Section string
	Name    string
	// Description are the help text with unit, range and accepted values.
	Description string
	// Default is the value without the key; a required key has none.
	Default  string
	Required bool
	// Example is a value of a required key.
	Example string
}

// Keys lists the keys of the structure in its order.
func Keys[T any]() []Key {
	var keys []Key
	root := reflect.TypeFor[T]()
	for i := range root.NumField() {
		section := root.Field(i)
		for k := range section.Type.NumField() {
			keys = append(keys, describe(section.Tag.Get("ini"), section.Type.Field(k)))
		}
	}
	return keys
}

func describe(section string, field reflect.StructField) Key {
	notes := field.Tag.Get("help")
	for _, tag := range []string{"unit", "min", "max"} {
		if v, ok := field.Tag.Lookup(tag); ok {
			notes += fmt.Sprintf("; %s: %s", tag, v)
		}
	}
	if v, ok := field.Tag.Lookup("oneof"); ok {
		notes += "; accepted: " + strings.Join(splitList(v), ", ")
	}
	if field.Type.Kind() == reflect.Bool {
		notes += "; accepted: yes, no"
	}
	def, ok := field.Tag.Lookup("default")
	return Key{Section: section, Name: field.Tag.Get("ini"), Description: notes, Default: def, Required: !ok, Example: field.Tag.Get("example")}
}

// Sample returns a commented file with every key at its default.
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

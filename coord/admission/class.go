package admission

// Class is a range of prompt lengths.
type Class string

// Length classes, named after their longest prompt in tokens.
const (
	Class1K   Class = "1k"
	Class4K   Class = "4k"
	Class16K  Class = "16k"
	Class64K  Class = "64k"
	Class256K Class = "256k"
	Class1M   Class = "1m"
)

// ShortTokens is the longest short prompt. Prompts above LongTokens count as
// long.
const (
	ShortTokens = 4_096
	LongTokens  = 100_000
)

// Classes returns the classes in ascending order.
func Classes() []Class {
	return []Class{Class1K, Class4K, Class16K, Class64K, Class256K, Class1M}
}

// ClassOf returns the class of a prompt length. Prompts longer than the last
// class belong to it.
func ClassOf(promptTokens int64) Class { return Classes()[classIndex(promptTokens)] }

func classIndex(promptTokens int64) int {
	limit := int64(1_024)
	for i := range classCount - 1 {
		if promptTokens <= limit {
			return i
		}
		limit *= 4
	}
	return classCount - 1
}

const classCount = 6

package cases

import (
	"os"
	"testing"
)

// TestMain runs the case that the variable CASE names. The case ends the process. All code is
// in test files, because it plays the role of the platform and uses its names. Without CASE
// there is nothing to run.
func TestMain(m *testing.M) {
	switch os.Getenv("CASE") {
	case "1":
		case1()
	case "2":
		case2()
	case "3":
		case3()
	case "4":
		case4()
	case "5":
		case5()
	}
	os.Exit(m.Run())
}

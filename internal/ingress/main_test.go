package ingress

import (
	"flag"
	"os"
	"testing"
)

// parallelTests is how many of this package's tests run at once: they wait for time-outs and graces, and hardly use a processor.
const parallelTests = "24"

func TestMain(m *testing.M) {
	flag.Parse()
	asked := false
	flag.Visit(func(f *flag.Flag) { asked = asked || f.Name == "test.parallel" })
	if !asked {
		flag.Set("test.parallel", parallelTests)
	}
	os.Exit(m.Run())
}

package commander

import (
	"os"
	"runtime/debug"
)

// limitMemory makes the Go runtime collect garbage earlier when the process comes close to a
// number of bytes, unless the environment says otherwise.
func limitMemory(bytes int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(bytes)
	}
}

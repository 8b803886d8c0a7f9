package attacker

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// daemonPackage is the program under attack.
const daemonPackage = "github.com/magnoliaknot/magnoliaknot/cmd/magnoliaknot"

// BuildDaemon builds the daemon once for all calls and returns its path. It is built without
// the race detector, which takes several times the memory.
var BuildDaemon = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "magnoliaknot")
	if err != nil {
		return "", Error.Wrap(err)
	}
	path := filepath.Join(directory, "magnoliaknot")
	output, err := exec.Command("go", "build", "-o", path, daemonPackage).CombinedOutput()
	if err != nil {
		return "", Error.New("%w: %s", err, output)
	}
	return path, nil
})

// RemoveDaemon removes what BuildDaemon has built.
func RemoveDaemon() {
	if path, err := BuildDaemon(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path)) // It is in the directory for temporary files.
	}
}

package commander_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/commander"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

const (
	validSheet = "../../examples/rampevaerk.json"
	// invalidSheet has findings of the decoder, of a field and of a part.
	invalidSheet = `{"format": 2, "deployment": "d", "surprise": 1, "services": [{"name": "a b", "instance_class": "none"}]}`
)

func TestCommander(t *testing.T) { tester.RunSpecs(t, "commander") }

func execute(arguments ...string) (code int, stdout, stderr string) {
	var out, failure strings.Builder
	code = commander.Execute(arguments, &out, &failure)
	return code, out.String(), failure.String()
}

func writeInvalidSheet(directory string) string {
	path := filepath.Join(directory, "broken.json")
	Expect(os.WriteFile(path, []byte(invalidSheet), 0o600)).To(Succeed())
	return path
}

var _ = Describe("command line", func() {
	cases := []struct {
		guards, arguments, stdout, stderr string
		code                              int
	}{
		{"a valid sheet being reported as invalid", "sheet check " + validSheet, "no findings; 3 services, 4 failure domains", "", 0},
		{"a missing file being treated as a sheet", "sheet check missing.json", "", "missing.json", 1},
		{"a misspelt flag being ignored", "sheet check --strict " + validSheet, "", "unknown flag: --strict", 2},
		{"a release that cannot be identified", "version", "magnoliaknot ", "", 0},
	}
	for _, c := range cases {
		It("guards against "+c.guards, func() {
			code, stdout, stderr := execute(strings.Fields(c.arguments)...)
			Expect(code).To(Equal(c.code))
			Expect(stdout).To(ContainSubstring(c.stdout))
			Expect(stderr).To(ContainSubstring(c.stderr))
		})
	}
	It("guards against findings that are reported one per run", func() {
		code, _, stderr := execute("sheet", "check", writeInvalidSheet(GinkgoT().TempDir()))
		Expect(code).NotTo(BeZero())
		for _, place := range []string{"surprise: ", "format: ", "failure_domains: ", "services[0].name: ", "services[0].instance_class: "} {
			Expect(stderr).To(ContainSubstring("\n" + place))
		}
	})
	for _, command := range []string{"", "daemon", "sheet", "sheet check", "sheet diff", "sheet publish", "status", "audit", "token", "version"} {
		It("guards against a command without help: "+command, func() {
			code, stdout, _ := execute(append(strings.Fields(command), "--help")...)
			Expect(code).To(BeZero())
			Expect(stdout).To(MatchRegexp(`^\S[^\n]+\n`))
		})
	}
})

// Guards against exit codes by which a script cannot tell findings or a mistyped
// command from a network failure or from success. It is a function of its own so
// that KNOWN-RED.txt can name it.
func TestExitCodeOfFindingsAndBadUsage(t *testing.T) {
	RegisterTestingT(t)
	for _, arguments := range []string{"sheet check " + writeInvalidSheet(t.TempDir()), "sheet check", "sheet chekc", "statsu", "daemon"} {
		if code, _, _ := execute(strings.Fields(arguments)...); code != 2 {
			t.Errorf("exit code of %q is %d, expected 2", arguments, code)
		}
	}
}

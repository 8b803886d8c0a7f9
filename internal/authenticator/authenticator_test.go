package authenticator_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/magnoliaknot/magnoliaknot/internal/authenticator"
	"github.com/magnoliaknot/magnoliaknot/internal/tester"
)

func TestAuthenticator(t *testing.T) { tester.RunSpecs(t, "authenticator") }

var _ = Describe("operator tokens", func() {
	planner := authenticator.Operator{Name: "planner", TokenSHA256: authenticator.HashToken("secret"), Role: authenticator.RolePublisher}
	cases := []struct {
		name          string
		operators     []authenticator.Operator
		authorization string
		accepted      bool
	}{
		{"right token", []authenticator.Operator{planner}, "Bearer secret", true},
		{"wrong token", []authenticator.Operator{planner}, "Bearer secreT", false},
		{"no token", []authenticator.Operator{planner}, "", false},
		{"empty token", []authenticator.Operator{planner}, "Bearer ", false},
		{"other scheme", []authenticator.Operator{planner}, "Basic secret", false},
		{"no operators", nil, "Bearer secret", false},
	}
	for _, c := range cases {
		It("guards against administration calls without a valid token: "+c.name, func() {
			operator, err := authenticator.New(c.operators).Identify(c.authorization)
			Expect(err == nil).To(Equal(c.accepted))
			if c.accepted {
				Expect(operator.Name).To(Equal(planner.Name))
			}
		})
	}
})

package parser

import (
	"fmt"
	"slices"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/reporter"
)

// Rule matches requests by method and path prefix.
type Rule struct {
	Method     string `json:"method"`
	PathPrefix string `json:"path_prefix"`
}

// methods lists the methods allowed in a rule. CONNECT and TRACE are not
// forwarded.
var methods = []string{"GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE"}

// MatchesPrefix reports whether a path starts with a prefix of whole segments:
// /orders matches /orders and /orders/7 but not /orders-old.
func MatchesPrefix(path, prefix string) bool {
	if !strings.HasPrefix(path, prefix) || prefix == "" {
		return false
	}
	return len(path) == len(prefix) || prefix[len(prefix)-1] == '/' || path[len(prefix)] == '/'
}

func matchesAny(rules []Rule, method, path string) bool {
	for _, rule := range rules {
		if rule.Method == method && MatchesPrefix(path, rule.PathPrefix) {
			return true
		}
	}
	return false
}

func checkRules(place string, rules []Rule, findings *reporter.Findings) {
	checkCount(place, len(rules), maxListEntries, findings)
	for i, rule := range rules {
		entry := fmt.Sprintf("%s[%d]", place, i)
		if !slices.Contains(methods, rule.Method) {
			findings.Add(joinPlace(entry, "method"), rule.Method, "is not one of "+strings.Join(methods, ", "))
		}
		checkPathPrefix(joinPlace(entry, "path_prefix"), rule.PathPrefix, findings)
		if first := slices.Index(rules, rule); first < i {
			findings.Add(entry, rule.Method+" "+rule.PathPrefix, fmt.Sprintf("repeats %s[%d]", place, first))
		}
	}
}

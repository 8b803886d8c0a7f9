package scheduler

import (
	"net"
	"strings"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/parser"
)

// routes holds indexes that find the service of a request without a scan over all
// services.
type routes struct {
	names    map[identifier.ServiceName]*parser.Service
	hosts    map[string]*parser.Service
	prefixes map[string]*parser.Service
	// longest is the length of the longest prefix; it bounds the number of lookups
	// for a long path.
	longest int
}

func newRoutes(services []*parser.Service) routes {
	r := routes{
		names:    make(map[identifier.ServiceName]*parser.Service, len(services)),
		hosts:    make(map[string]*parser.Service, len(services)),
		prefixes: make(map[string]*parser.Service, len(services)),
	}
	for _, service := range services {
		r.names[service.Name] = service
		for _, host := range service.Hosts {
			r.hosts[host] = service
		}
		for _, prefix := range service.PathPrefixes {
			r.prefixes[prefix] = service
			r.longest = max(r.longest, len(prefix))
		}
	}
	return r
}

// Route returns the service of a request: the one named by its header, else the
// one with its host, else the one with the longest matching path prefix. A header
// with an unknown name matches nothing, since the caller meant another service.
// The path must be decoded, normalised and without query. Route makes at most two
// lookups for each path segment.
func (s *Schedule) Route(serviceHeader, host, path string) (*parser.Service, bool) {
	if serviceHeader != "" {
		service, ok := s.routes.names[identifier.ServiceName(serviceHeader)]
		return service, ok
	}
	if service, ok := s.routes.hosts[hostName(host)]; ok {
		return service, true
	}
	return s.routes.byPath(path)
}

// byPath looks up every prefix of the path that ends at a segment boundary, longest
// first.
func (r routes) byPath(path string) (*parser.Service, bool) {
	for end := min(len(path), r.longest); end > 0; end-- {
		if end < len(path) && path[end] != '/' && path[end-1] != '/' {
			continue
		}
		if service, ok := r.prefixes[path[:end]]; ok {
			return service, true
		}
	}
	return nil, false
}

// hostName removes the port and the final dot of a Host header and converts it to
// lower case.
func hostName(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

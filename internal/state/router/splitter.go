package router

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
)

// Splitter distributes the requests of each route over its services by smooth
// weighted round robin: any run of requests differs from the weights by less
// than one request per service. Each daemon starts at a random position, so that
// daemons with few requests do not all prefer the same service. It is safe for
// concurrent use.
type Splitter struct {
	mu     sync.Mutex
	random *rand.Rand
	states map[string]*splitState
}

// splitState is the state of one route.
type splitState struct {
	services []WeightedService
	total    int
	credits  []int
}

// NewSplitter returns a splitter without state.
func NewSplitter(random *rand.Rand) *Splitter {
	return &Splitter{random: random, states: map[string]*splitState{}}
}

// Pick returns the service of the next request of a route.
func (s *Splitter) Pick(route *Route) identifier.ServiceName {
	if len(route.WeightedServices) == 1 {
		return route.WeightedServices[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state, found := s.states[route.Name]
	if !found || !slices.Equal(state.services, route.WeightedServices) {
		state = newSplitState(route.WeightedServices)
		for range s.random.IntN(max(1, state.total)) {
			state.next()
		}
		s.states[route.Name] = state
	}
	return state.next()
}

// Retain drops the state of all routes but the given ones.
func (s *Splitter) Retain(routes []Route) {
	names := make(map[string]struct{}, len(routes))
	for i := range routes {
		names[routes[i].Name] = struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.states {
		if _, found := names[name]; !found {
			delete(s.states, name)
		}
	}
}

func newSplitState(services []WeightedService) *splitState {
	state := &splitState{services: services, credits: make([]int, len(services))}
	for _, p := range services {
		state.total += p.Weight
	}
	return state
}

// next adds to the credits of each service its weight, returns the service with
// the most credits and subtracts the total weight from them.
func (s *splitState) next() identifier.ServiceName {
	best := 0
	for i, p := range s.services {
		s.credits[i] += p.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= s.total
	return s.services[best].Service
}

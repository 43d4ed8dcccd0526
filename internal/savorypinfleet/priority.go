package savorypinfleet

import "slices"

// streamPriorities returns the distinct priorities of the streams to each service, in ascending
// order. An organisation with a priority of its own may use any route that isn't public.
func streamPriorities(cfg ConfigurationSpec) map[string][]int {
	var ofOrganisations []int
	for _, o := range cfg.Organisations {
		if o.Priority != nil {
			ofOrganisations = append(ofOrganisations, *o.Priority)
		}
	}
	priorities := map[string][]int{}
	for _, r := range cfg.Routes {
		if r.Kind() != RouteStreaming {
			continue
		}
		for _, s := range r.Shares() {
			priorities[s.Service] = append(priorities[s.Service], r.Priority())
			if !r.Public() {
				priorities[s.Service] = append(priorities[s.Service], ofOrganisations...)
			}
		}
	}
	for name, list := range priorities {
		slices.Sort(list)
		priorities[name] = slices.Compact(list)
	}
	return priorities
}

// HasPriorities reports whether the streams to a service have more than one priority.
func (c *Configuration) HasPriorities(service string) bool {
	return len(c.priorities[service]) > 1
}

// PriorityRank returns the number of priorities of the streams to a service that are higher than a
// given one. Unlike the priority itself, it is small and never negative.
func (c *Configuration) PriorityRank(service string, priority int) int {
	rank, _ := slices.BinarySearch(c.priorities[service], priority)
	return rank
}

// Priority returns the priority of an organisation's requests on a route; 0 is the highest. A
// nil organisation has none of its own.
func (c *Configuration) Priority(route *Route, o *Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return route.Priority()
}

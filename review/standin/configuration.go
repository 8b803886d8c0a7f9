package main

import (
	"encoding/json"
	"fmt"
)

// Services of the instances. The routes lead to the first one; the clients are beside
// instances of the second one.
const (
	servicePurchasing = "huvo11a"
	serviceSurvey     = "kafi81c"
)

// tenant is a tenant of a configuration.
type tenant struct{ name, key string }

// configuration returns the operator's configuration with a route for requests that may
// be repeated and one for requests that may not.
func configuration(version int, tenants ...tenant) []byte {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"Type": "Routes", "Metadata": map[string]any{"Name": name}, "Spec": map[string]any{
			"Host": host, "PathPrefix": prefix, "RouteType": kind, "TimeoutS": 1.2, "TargetLatencyS": 0.6,
			"Priority": 1, "Service": servicePurchasing, "Attempts": 2, "Public": false,
		}}
	}
	service := func(name string) map[string]any {
		return map[string]any{"Type": "Services", "Metadata": map[string]any{"Name": name}, "Spec": map[string]any{
			"HealthPath": healthPath, "MaxConnections": 240, "WarmupS": 3.0, "WarmupPerS": 36.0,
		}}
	}
	resources := []any{
		route("r-read", pathRead, "idempotent"), route("r-order", pathOrder, "non_idempotent"),
		service(servicePurchasing), service(serviceSurvey),
		map[string]any{"Type": "Limits", "Metadata": map[string]any{}, "Spec": map[string]any{
			"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
		}},
	}
	for _, t := range tenants {
		resources = append(resources, map[string]any{"Type": "Tenants", "Metadata": map[string]any{"Name": t.name}, "Spec": map[string]any{
			"ApiKeys": []string{t.key}, "Priority": 1, "RatePerS": 0, "Burst": 0,
		}})
	}
	data, _ := json.Marshal(map[string]any{"Version": fmt.Sprintf("%08x", version), "Resources": resources}) // Only strings and numbers.
	return data
}

// manyServices returns a configuration with a route to each of some services.
func manyServices(version, count int) []byte {
	var resources []any
	for n := range count {
		name := fmt.Sprintf("svc%d", n)
		resources = append(resources, map[string]any{"Type": "Routes", "Metadata": map[string]any{"Name": "r-" + name}, "Spec": map[string]any{
			"Host": host, "PathPrefix": fmt.Sprintf("/s%d/", n), "RouteType": "idempotent", "TimeoutS": 1.2, "TargetLatencyS": 0.6,
			"Priority": 1, "Service": name, "Attempts": 2, "Public": false,
		}}, map[string]any{"Type": "Services", "Metadata": map[string]any{"Name": name}, "Spec": map[string]any{
			"HealthPath": healthPath, "MaxConnections": 240, "WarmupS": 3.0, "WarmupPerS": 36.0,
		}})
	}
	resources = append(resources, map[string]any{"Type": "Limits", "Metadata": map[string]any{}, "Spec": map[string]any{
		"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
	}})
	data, _ := json.Marshal(map[string]any{"Version": fmt.Sprintf("%08x", version), "Resources": resources}) // Only strings and numbers.
	return data
}

// Package comparer decides whether a new version of a service is worse than the old one,
// from the answers of both in the same time.
package comparer

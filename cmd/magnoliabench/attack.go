package main

import (
	"fmt"
	"net/netip"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/magnoliaknot/magnoliaknot/internal/bench/attacker"
	"github.com/magnoliaknot/magnoliaknot/pkg/identifier"
	"github.com/magnoliaknot/magnoliaknot/pkg/timer"
)

// maxAttackConnections and maxAttackTimes bound an attack.
const (
	maxAttackConnections = 10_000
	maxAttackTimes       = 1000
)

// attackFlags describe the crowds of connections.
type attackFlags struct {
	target      string
	path        string
	fields      []string
	connections int
	times       int
	headBytes   int
	lingerMs    int64
	unread      bool
}

func newAttackCommand() *cobra.Command {
	var flags attackFlags
	command := &cobra.Command{
		Use:   "attack",
		Short: "Send crowds of connections that take as much memory and work as they can",
		Long: `Sends one crowd after the other to a server on this machine, each with another
shape of requests, and prints how many connections were opened and answered. Look at the
memory of the server meanwhile.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if err := flags.check(); err != nil {
				return err
			}
			out := tabwriter.NewWriter(command.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(out, "shape\topened\tanswered")
			for _, shape := range flags.shapes() {
				crowd := flags.attack(shape.Text).Begin()
				crowd.Wait()
				crowd.Close()
				fmt.Fprintf(out, "%s\t%d\t%d\n", shape.Name, crowd.Opened(), crowd.Answered())
				if err := command.Context().Err(); err != nil {
					break
				}
			}
			return out.Flush()
		},
	}
	set := command.Flags()
	set.StringVar(&flags.target, "target", "127.0.0.1:9100", "loopback address of the server")
	set.StringVar(&flags.path, "path", "/", "path of the requests")
	set.StringArrayVar(&flags.fields, "field", nil, `field of each request, as "Name: value"`)
	set.IntVar(&flags.connections, "connections", 100, "connections of a crowd")
	set.IntVar(&flags.times, "times", 20, "how often each connection sends its request")
	set.IntVar(&flags.headBytes, "head-bytes", 16384, "largest head")
	set.Int64Var(&flags.lingerMs, "linger-ms", 1000, "how long a connection is used")
	set.BoolVar(&flags.unread, "unread", false, "read no answers")
	return command
}

// check reports all findings together.
func (f *attackFlags) check() error {
	var findings errs.Group
	if address, err := netip.ParseAddrPort(f.target); err != nil || !address.Addr().IsLoopback() {
		findings.Add(fmt.Errorf("--target %q is not a loopback address with a port", f.target))
	}
	for _, limit := range []struct {
		name        string
		value, most int64
	}{
		{"connections", int64(f.connections), maxAttackConnections},
		{"times", int64(f.times), maxAttackTimes},
		{"head-bytes", int64(f.headBytes), 1 << 20},
		{"linger-ms", f.lingerMs, int64(timer.Minute)},
	} {
		if limit.value < 1 || limit.value > limit.most {
			findings.Add(fmt.Errorf("--%s %d is not between 1 and %d", limit.name, limit.value, limit.most))
		}
	}
	return findings.Err()
}

func (f *attackFlags) shapes() []attacker.Shape {
	target := attacker.Target{Path: f.path, HeadBytes: f.headBytes}
	for _, field := range f.fields {
		target.Fields += field + "\r\n"
	}
	return target.Shapes()
}

func (f *attackFlags) attack(text string) attacker.Attack {
	return attacker.Attack{
		Address: identifier.Address(f.target), Connections: f.connections, Text: text, Times: f.times,
		Unread: f.unread, Linger: timer.Millis(f.lingerMs),
	}
}

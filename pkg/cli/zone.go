package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/entry"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
)

func (a *app) zoneCommand() *cobra.Command {
	o := &operatorFlags{}
	c := &cobra.Command{Use: "zone", Short: "List and drain availability zones"}
	var reason string
	drain := &cobra.Command{
		Use: "drain NAME", Short: "Start nothing new on the upstreams of a zone until it is resumed",
		Long: "Start nothing new on the upstreams of a zone until it is resumed. Running tasks finish.\n" +
			"The drain applies to all regions that have a zone of this name.",
		Example: "  turmericbarrow zone drain a --reason 'power is switched over'", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return a.drainZone(c.Context(), o, args[0], reason) },
	}
	drain.Flags().StringVar(&reason, "reason", "drained", "why, for the history")
	resume := &cobra.Command{
		Use: "resume NAME", Short: "End the drain of a zone",
		Example: "  turmericbarrow zone resume a", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return a.resumeZone(c.Context(), o, args[0]) },
	}
	list := &cobra.Command{
		Use: "list", Short: "List the drained zones and those that an entry knows",
		Example: "  turmericbarrow zone list", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return a.listZones(c.Context(), o) },
	}
	for _, sub := range []*cobra.Command{drain, resume, list} {
		o.add(sub.Flags())
	}
	c.AddCommand(drain, resume, list)
	return c
}

func (a *app) drainZone(ctx context.Context, o *operatorFlags, zone, reason string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.Close()
	config, err := client.Config(ctx)
	if err != nil {
		return err
	}
	state, err := client.State(ctx)
	if err != nil {
		return err
	}
	name := contr.PrefixZone + zone
	before := findDocument(config, name)
	am := contr.Amendment{Author: o.author, Base: before.Version, Name: name, Text: reason}
	if !a.printIfUnchanged(am, before) {
		if err := a.amend(ctx, client, am); err != nil {
			return err
		}
	}
	a.warnAboutZone(state, zone)
	return nil
}

// warnAboutZone prints a warning if the entry knows no host in a drained zone, whose name may then
// be mistyped, or if it knows hosts of that zone name in several regions.
func (a *app) warnAboutZone(s entry.State, zone string) {
	known := knownZones(s)
	z := known[zone]
	switch {
	case z == nil:
		fmt.Fprintf(a.out, "warning: %s knows no host in zone %s, only in %s\n", s.Self.Name, zone,
			strings.Join(slices.Sorted(maps.Keys(known)), ", "))
	case len(z.regions) > 1:
		fmt.Fprintf(a.out, "warning: zone %s is drained in all regions that have it: %s\n", zone, z.regionList())
	}
}

func (a *app) resumeZone(ctx context.Context, o *operatorFlags, zone string) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	defer client.Close()
	config, err := client.Config(ctx)
	if err != nil {
		return err
	}
	name := contr.PrefixZone + zone
	before := findDocument(config, name)
	if before.Version == contr.NoVersion || before.Deleted {
		fmt.Fprintf(a.out, "%s: no change (not drained)\n", name)
		return nil
	}
	return a.amend(ctx, client, contr.Amendment{Author: o.author, Base: before.Version, Name: name, Deleted: true})
}

// knownZone counts the hosts that an entry knows in the zones of one name.
type knownZone struct {
	regions map[string]bool
	agents  int
	entries int
}

func (z *knownZone) regionList() string {
	return strings.Join(slices.Sorted(maps.Keys(z.regions)), ", ")
}

// knownZones returns the zones of the hosts that an entry knows, by name.
func knownZones(s entry.State) map[string]*knownZone {
	zones := map[string]*knownZone{}
	hosts := append([]host.Host{s.Self}, s.Agents...)
	for _, m := range s.Entries {
		if m.Host.Incarnation != s.Self.Incarnation {
			hosts = append(hosts, m.Host)
		}
	}
	for _, h := range hosts {
		z := zones[h.Location.Zone]
		if z == nil {
			z = &knownZone{regions: map[string]bool{}}
			zones[h.Location.Zone] = z
		}
		z.regions[h.Location.Region] = true
		if h.Role == host.RoleAgent {
			z.agents++
		} else {
			z.entries++
		}
	}
	return zones
}

// drainsByZone returns the documents that drain zones, by zone.
func drainsByZone(documents []contr.Document) map[string]contr.Document {
	drains := map[string]contr.Document{}
	for _, d := range documents {
		if name, isDrain := d.Zone(); isDrain && !d.Deleted {
			drains[name] = d
		}
	}
	return drains
}

func (a *app) listZones(ctx context.Context, o *operatorFlags) error {
	config, err := fetchConfig(ctx, o)
	if err != nil {
		return err
	}
	state, err := fetchState(ctx, o)
	if err != nil {
		return err
	}
	zones := knownZones(state)
	drains := drainsByZone(config.Documents)
	for name := range drains {
		if zones[name] == nil {
			zones[name] = &knownZone{}
		}
	}
	t := tabwriter.NewWriter(a.out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "ZONE\tREGIONS\tENTRIES\tAGENTS\tSTATE\tVERSION\tREASON")
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		z := zones[name]
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t", name, z.regionList(), z.entries, z.agents)
		if d, drained := drains[name]; drained {
			fmt.Fprintf(t, "drained\t%d\t%s\n", d.Version, d.Text)
		} else {
			fmt.Fprintf(t, "in use\t\t\n")
		}
	}
	return t.Flush()
}

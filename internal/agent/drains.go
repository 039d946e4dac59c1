package agent

// applyDrain applies the drained zones of the configuration in force to this agent's upstream. The
// agent enforces a drain as well as the entries, because some of them may learn of it later.
func (a *Agent) applyDrain() {
	zone := a.settings.Self.Location.Zone
	drained := a.config.Drains.Contains(zone)
	if drained == a.pool.ZoneDrained {
		return
	}
	a.log.Info("drain of the zone in force", "zone", zone, "drained", drained,
		"version", a.config.Version, "running", a.pool.Running(), "queued", a.pool.Queued())
	a.pool.SetZoneDrained(drained, a.clock.Now())
}

package entry

import "github.com/turmericbarrow/turmericbarrow/internal/contr"

// logDrains logs the drained zones if a drain began or ended with the changed documents.
func (e *Entry) logDrains(changed []contr.Document) {
	for _, d := range changed {
		if _, isDrain := d.Zone(); isDrain {
			e.log.Info("drained zones in force", "version", e.config.Version, "zones", e.config.Drains.Zones,
				"upstreams", e.disp.UpstreamsInDrainedZones())
			return
		}
	}
}

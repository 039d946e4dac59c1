package entry

import (
	"github.com/turmericbarrow/turmericbarrow/internal/audit"
	"github.com/turmericbarrow/turmericbarrow/internal/contr"
	"github.com/turmericbarrow/turmericbarrow/internal/disp"
	"github.com/turmericbarrow/turmericbarrow/internal/fair"
	"github.com/turmericbarrow/turmericbarrow/internal/grant"
	"github.com/turmericbarrow/turmericbarrow/internal/limit"
	"github.com/turmericbarrow/turmericbarrow/internal/retry"
	"github.com/turmericbarrow/turmericbarrow/internal/roster"
	"github.com/turmericbarrow/turmericbarrow/internal/route"
)

// NewParts returns the parts from which an entry's dispatcher is built. The queue orders
// tasks by fair shares, and the fleet chooses the upstream by predicted finish time.
func NewParts(keyLimits grant.TableLimits) disp.Parts {
	fleet := route.New()
	return disp.Parts{
		Config:       contr.NewConfig(),
		Queue:        fair.New(),
		Fleet:        fleet,
		Chooser:      fleet,
		RateLimits:   limit.New(),
		RetryBudgets: retry.New(),
		Ledger:       grant.NewLedger(),
		KeyTable:     grant.NewTable(keyLimits),
		Roster:       roster.New(),
		Audit:        audit.New(audit.DefaultDispatches, audit.DefaultRecords),
	}
}

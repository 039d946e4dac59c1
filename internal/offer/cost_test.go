package offer

import (
	"fmt"
	"testing"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// BenchmarkDecisionOffer measures the choice of the next entry by an agent with six links, all of
// which wait.
func BenchmarkDecisionOffer(b *testing.B) {
	book := NewBook()
	now := clock.Millis(0)
	for b.Loop() {
		now += offerMS
		for e := range 6 {
			if now%(12*offerMS) == 0 || now == offerMS {
				book.SetDemand(fmt.Sprint("entry-", e), demandAt(now+clock.Millis(100*e)), now)
			}
		}
		book.Next(cores(4+int64(now/offerMS)%2), now)
	}
}

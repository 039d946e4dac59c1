// Package retry holds the budgets of second attempts. Each contract has one, which
// retries and hedges share, and it fills with first attempts: a fault that fails
// every attempt can't multiply the load. The package does no I/O and reads no
// clock.
package retry

// maxSaved is the most attempts that a budget saves up, and what it begins with. It
// covers the idempotent work that a customer has on one entry's links when all of
// them go silent at once; with 20, ten such requests were lost.
const maxSaved = 64

// Budgets holds the budget of every customer.
type Budgets struct {
	saved map[string]float64
}

// New returns empty budgets.
func New() *Budgets {
	return &Budgets{saved: map[string]float64{}}
}

// Earn counts a first attempt under a contract that allows percent second ones for
// each hundred.
func (b *Budgets) Earn(customer string, percent float64) {
	saved, begun := b.saved[customer]
	if percent <= 0 {
		b.saved[customer] = 0
		return
	}
	if !begun {
		saved = maxSaved
	}
	b.saved[customer] = min(saved+percent/100, maxSaved)
}

// Spend takes one second attempt if the budget has it.
func (b *Budgets) Spend(customer string) bool {
	if b.saved[customer] < 1 {
		return false
	}
	b.saved[customer]--
	return true
}

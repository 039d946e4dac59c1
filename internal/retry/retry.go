// Package retry holds the retry budgets of customers and the backoff of connection
// attempts. Each contract has one budget, which retries and hedges share. Only first
// attempts add to it, so that a fault that fails every attempt cannot multiply the
// load. The package does no I/O and reads no clock.
package retry

// maxBalance is both the maximum and the initial number of extra attempts in a
// budget. It covers the idempotent requests that a customer has on one entry's links
// when all of them go silent at once; with 20, ten such requests were lost.
const maxBalance = 64

// Budgets holds the retry budget of each customer.
type Budgets struct {
	balances map[string]float64
}

// New returns budgets without any customer.
func New() *Budgets {
	return &Budgets{balances: map[string]float64{}}
}

// Earn adds percent hundredths of an extra attempt to the customer's budget. For n first
// attempts, percent is n times the contract's percentage. If it is zero or less, the budget
// becomes empty.
func (b *Budgets) Earn(customer string, percent float64) {
	balance, exists := b.balances[customer]
	if percent <= 0 {
		b.balances[customer] = 0
		return
	}
	if !exists {
		balance = maxBalance
	}
	b.balances[customer] = min(balance+percent/100, maxBalance)
}

// Spend takes one extra attempt from the budget and reports whether there was one.
func (b *Budgets) Spend(customer string) bool {
	if b.balances[customer] < 1 {
		return false
	}
	b.balances[customer]--
	return true
}

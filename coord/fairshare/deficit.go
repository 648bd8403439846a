package fairshare

import "math"

// Deficit is the work that a flow may start before others get their turn, as in deficit round
// robin. Work is in any unit, such as tokens or replica time.
type Deficit float64

// Credit adds a number of rounds to the deficit. quantum is what the flow gains per round.
func (d *Deficit) Credit(rounds, quantum float64) { *d += Deficit(rounds * quantum) }

// Charge deducts the cost of work that starts. A flow does not go into debt.
func (d *Deficit) Charge(cost float64) { *d = max(*d-Deficit(cost), 0) }

// Quantum returns what a flow gains per round, which is at least 1.
func Quantum(base, weight float64) float64 { return math.Max(base*weight, 1) }

// RoundsToCover returns the number of rounds after which a deficit covers a cost. It is negative
// if the deficit exceeds the cost.
func RoundsToCover(cost float64, d Deficit, quantum float64) float64 {
	return (cost - float64(d)) / quantum
}

// WholeRounds returns the number of whole rounds after which a deficit covers a cost. Computing
// all rounds at once makes expensive work as cheap to schedule as other work.
func WholeRounds(cost float64, d Deficit, quantum float64) float64 {
	return max(math.Ceil(RoundsToCover(cost, d, quantum)), 0)
}

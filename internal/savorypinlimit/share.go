package savorypinlimit

import (
	"cmp"
	"slices"
)

// Claim is what one party of a division wants.
type Claim struct {
	// Demand is how much it wants.
	Demand float64
	// Weight is its right to what is scarce; it must be positive.
	Weight float64
}

// MaxMin divides a capacity by weighted max-min fairness: nobody gets more than
// its demand, and nobody can get more without another getting less that has
// less for its weight. The algorithm is progressive filling (Bertsekas and
// Gallager, Data Networks, 6.5.2). It also returns the level: what the parties
// whose demand is not met got for each unit of weight.
func MaxMin(capacity float64, claims []Claim) (shares []float64, level float64) {
	shares = make([]float64, len(claims))
	order := make([]int, len(claims))
	weight := 0.0
	for i, c := range claims {
		order[i] = i
		weight += c.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].Demand/claims[a].Weight, claims[b].Demand/claims[b].Weight)
	})
	for _, i := range order {
		level = capacity / weight
		shares[i] = min(claims[i].Demand, level*claims[i].Weight)
		capacity -= shares[i]
		weight -= claims[i].Weight
	}
	return shares, level
}

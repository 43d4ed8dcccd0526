package savorypinlimit

import (
	"cmp"
	"slices"
)

// Claim is the demand and the weight of one party in MaxMin.
type Claim struct {
	// Demand is the part of the capacity that the party asks for.
	Demand float64
	// Weight scales the fair share of the party; it must be positive.
	Weight float64
}

// MaxMin divides a capacity by weighted max-min fairness: no share exceeds its
// demand, and a share can only grow if another one shrinks that is no larger for
// its weight. The algorithm is progressive filling (Bertsekas and Gallager, Data
// Networks, 6.5.2). It also returns the level: the share for each unit of weight
// of the parties whose demand is not met.
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

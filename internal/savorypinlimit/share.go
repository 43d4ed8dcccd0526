package savorypinlimit

import (
	"cmp"
	"slices"
)

// Party is one of those among which MaxMin divides a capacity.
type Party struct {
	// Demand is the part of the capacity that the party asks for.
	Demand float64
	// Weight scales the fair share of the party; it must be positive.
	Weight float64
}

// MaxMin divides a capacity by weighted max-min fairness: no share exceeds its
// demand, and a share can only grow at the cost of another one that is no larger
// per unit of weight. The algorithm is progressive filling (Bertsekas and
// Gallager, Data Networks, 6.5.2). It also returns the level: the share per unit
// of weight of the parties whose demand is not met.
func MaxMin(capacity float64, parties []Party) (shares []float64, level float64) {
	shares = make([]float64, len(parties))
	order := make([]int, len(parties))
	weight := 0.0
	for i, p := range parties {
		order[i] = i
		weight += p.Weight
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(parties[a].Demand/parties[a].Weight, parties[b].Demand/parties[b].Weight)
	})
	for _, i := range order {
		level = capacity / weight
		shares[i] = min(parties[i].Demand, level*parties[i].Weight)
		capacity -= shares[i]
		weight -= parties[i].Weight
	}
	return shares, level
}

package savorypinmove

import "math"

// Alternatives is the number of odds ratios that each comparison is made for.
const Alternatives = 3

// Logs are the logarithms of likelihood ratios, one for each alternative.
type Logs [Alternatives]float64

// add adds other to l.
func (l *Logs) add(other Logs) {
	for i, v := range other {
		l[i] += v
	}
}

// odds is a set of hypotheses about the odds ratio of new to old.
type odds struct {
	alternatives [Alternatives]float64
	null         float64
}

// hypergeometricLogs returns how much likelier the alternatives make it than
// the null that k1 of k marked attempts are among the n1 new ones, the other n0
// being old. Given both margins, the count follows Fisher's noncentral
// hypergeometric distribution, whatever rate new and old have in common:
// A. Agresti, Categorical Data Analysis, section 3.5. The ratio grows with k1,
// so its mean is at most 1 for every odds ratio up to the null.
func hypergeometricLogs(n1, n0, k, k1 int, o odds) Logs {
	var logs Logs
	null := logNoncentral(n1, n0, k, k1, o.null)
	for i, alternative := range o.alternatives {
		logs[i] = logNoncentral(n1, n0, k, k1, alternative) - null
	}
	return logs
}

// bernoulliLogs returns how much likelier the alternative rates make an outcome
// than the null rate.
func bernoulliLogs(marked bool, null float64, alternatives [Alternatives]float64) Logs {
	var logs Logs
	for i, rate := range alternatives {
		rate = max(rate, null)
		if marked {
			logs[i] = math.Log(rate / null)
		} else {
			logs[i] = math.Log((1 - rate) / (1 - null))
		}
	}
	return logs
}

func logNoncentral(n1, n0, k, k1 int, ratio float64) float64 {
	low, high := max(0, k-n0), min(k, n1)
	largest := math.Inf(-1)
	for x := low; x <= high; x++ {
		largest = max(largest, logWeight(n1, n0, k, x, ratio))
	}
	sum := 0.0
	for x := low; x <= high; x++ {
		sum += math.Exp(logWeight(n1, n0, k, x, ratio) - largest)
	}
	return logWeight(n1, n0, k, k1, ratio) - largest - math.Log(sum)
}

func logWeight(n1, n0, k, x int, ratio float64) float64 {
	return logChoose(n1, x) + logChoose(n0, k-x) + float64(x)*math.Log(ratio)
}

func logChoose(n, k int) float64 {
	return logFactorial(n) - logFactorial(k) - logFactorial(n-k)
}

func logFactorial(n int) float64 {
	v, _ := math.Lgamma(float64(n + 1))
	return v
}

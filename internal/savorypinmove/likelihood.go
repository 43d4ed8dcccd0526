package savorypinmove

import "math"

// Alternatives is the number of alternative odds ratios that each comparison tests.
const Alternatives = 3

// LogRatios holds log-likelihood ratios, one for each alternative.
type LogRatios [Alternatives]float64

// add adds other to l.
func (l *LogRatios) add(other LogRatios) {
	for i, v := range other {
		l[i] += v
	}
}

// oddsHypotheses holds the null hypothesis and the alternatives for the odds ratio of
// the new to the old version.
type oddsHypotheses struct {
	alternativeRatios [Alternatives]float64
	nullRatio         float64
}

// hypergeometricLogRatios returns the log-likelihood ratios of the alternatives to the
// null hypothesis, given that k1 of k marked attempts are among the n1 attempts on the
// new version, and the others among the n0 on the old one. Conditional on both margins,
// k1 follows Fisher's noncentral hypergeometric distribution, whatever rate both
// versions have in common (A. Agresti, Categorical Data Analysis, section 3.5). The
// likelihood ratio grows with k1, so its mean is at most 1 for every odds ratio up to
// the null.
func hypergeometricLogRatios(n1, n0, k, k1 int, o oddsHypotheses) LogRatios {
	var logs LogRatios
	null := logNoncentralProbability(n1, n0, k, k1, o.nullRatio)
	for i, alternative := range o.alternativeRatios {
		logs[i] = logNoncentralProbability(n1, n0, k, k1, alternative) - null
	}
	return logs
}

// bernoulliLogRatios returns the log-likelihood ratios of the alternative rates to the
// null rate for one outcome.
func bernoulliLogRatios(marked bool, null float64, alternatives [Alternatives]float64) LogRatios {
	var logs LogRatios
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

// logNoncentralProbability returns the logarithm of the probability of k1 under Fisher's
// noncentral hypergeometric distribution with an odds ratio.
func logNoncentralProbability(n1, n0, k, k1 int, ratio float64) float64 {
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

// logWeight returns the logarithm of the unnormalized probability of x.
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

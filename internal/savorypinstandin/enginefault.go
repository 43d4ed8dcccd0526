package savorypinstandin

// Fail makes the given ratio of requests fail with status 500.
func (e *Engine) Fail(ratio float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failRatio = ratio
}

// RequestsFor returns the number of completions of a model asked for.
func (e *Engine) RequestsFor(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestsFor[model]
}

// Fault is what is wrong with one request.
type Fault struct {
	// Fails makes the request fail with status 500.
	Fails bool
	// Slow divides the decoding rate; 0 leaves it as it is.
	Slow float64
}

// SetFaults sets what decides on the fault of each request, by its model, the
// tokens of its prompt, and the number of requests that run.
func (e *Engine) SetFaults(faults func(model string, prompt []int32, running int) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Faults returns what decides on the fault of each request.
func (e *Engine) Faults() func(model string, prompt []int32, running int) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) faultOf(model string, prompt []int32) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults(model, prompt, e.running)
}

// Slow divides the decoding rate of a model by factor.
func (e *Engine) Slow(model string, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow[model] = factor
}

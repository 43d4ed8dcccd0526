package savorypinstandin

// SetFailRatio makes the given ratio of requests, from 0 to 1, fail with status 500.
func (e *Engine) SetFailRatio(ratio float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failRatio = ratio
}

// RequestsFor returns the number of completion requests received for a model.
func (e *Engine) RequestsFor(model string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.requestsFor[model]
}

// Fault is a fault to inject into one request.
type Fault struct {
	// Fails makes the request fail with status 500.
	Fails bool
	// Slowdown divides the decoding rate; values below 1 don't change it.
	Slowdown float64
}

// SetFaults sets the function that returns the fault to inject into a request,
// given its model, the tokens of its prompt and the number of running requests.
func (e *Engine) SetFaults(faults func(model string, prompt []int32, running int) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Faults returns the function set by SetFaults.
func (e *Engine) Faults() func(model string, prompt []int32, running int) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

func (e *Engine) nextFault(model string, prompt []int32) Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults(model, prompt, e.running)
}

// SetSlowdown divides the decoding rate of a model by factor.
func (e *Engine) SetSlowdown(model string, factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdowns[model] = factor
}

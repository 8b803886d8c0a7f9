package attacker

import "errors"

// Bounds are what a process may take.
type Bounds struct {
	MemoryMB    int64
	Descriptors int
}

// Usage is what a process has taken.
type Usage struct {
	// PeakMB is the largest resident memory so far.
	PeakMB int64
	// Descriptors is the number of open files.
	Descriptors int
}

// Check returns what the process has taken, and an error if it has ended or has exceeded its
// bounds.
func (p *Process) Check(bounds Bounds) (Usage, error) {
	if !p.Running() {
		return Usage{}, Error.New("the process has ended: %s", p.logEnd())
	}
	peak, err := p.peakMemory()
	if err != nil {
		return Usage{}, err
	}
	open, err := p.descriptors()
	if err != nil {
		return Usage{}, err
	}
	usage := Usage{PeakMB: peak >> megabyteBits, Descriptors: open}
	if peak > bounds.MemoryMB<<megabyteBits {
		err = Error.New("peak resident memory is %d MB, the VM has %d MB", usage.PeakMB, bounds.MemoryMB)
	}
	if open > bounds.Descriptors {
		err = errors.Join(err, Error.New("%d descriptors are open, %d are allowed", open, bounds.Descriptors))
	}
	return usage, err
}

const megabyteBits = 20

package admitter

// tag is a virtual time. Its unit is one run: run times are estimated by the mean run,
// which is the same for all accounts, and all accounts have the same weight.
type tag uint64

// maxServed bounds class.served.
const maxServed = 256

// fairOrder assigns start tags to attempts by start-time fair queueing (Goyal, Vin and
// Cheng, "Start-time fair queuing", 1996), separately for each class. An attempt's
// start tag is the finish tag of the previous attempt of its account, but not less than
// the virtual time, and its finish tag is one run later. Attempts that start in the
// order of their tags give accounts that wait equal numbers of starts.
//
// State exists for accounts that wait or run, and, while others of the class wait, for
// those that were served since the virtual time advanced. Flows and classes are reused,
// so that arrivals do not allocate.
type fairOrder struct {
	flows        map[flowKey]*flow
	classes      map[classKey]*class
	spareFlows   []*flow
	spareClasses []*class
}

// arrived counts a waiting attempt and returns its flow and start tag.
func (o *fairOrder) arrived(key flowKey) (*flow, tag) {
	f := o.flows[key]
	if f == nil {
		f = o.addFlow(key)
	}
	start := max(f.class.virtual, f.next)
	f.next = start + 1
	f.waiting++
	f.class.waiting++
	return f, start
}

// started counts a waiting attempt as running.
func (o *fairOrder) started(f *flow, start tag) {
	c := f.class
	f.waiting--
	f.running++
	c.waiting--
	if start > c.virtual || c.waiting == 0 {
		c.virtual = max(c.virtual, start)
		o.forgetServed(c)
	}
}

// refused takes back the start tag of the last waiting attempt of a flow, so that
// attempts that do not start cost an account nothing.
func (o *fairOrder) refused(f *flow, start tag) {
	f.next = start
	f.waiting--
	f.class.waiting--
	o.releaseIdle(f)
	if f.class.waiting == 0 {
		o.forgetServed(f.class)
	}
}

func (o *fairOrder) ended(f *flow) {
	f.running--
	o.releaseIdle(f)
}

// releaseIdle removes an idle flow, at once or when the virtual time has advanced.
func (o *fairOrder) releaseIdle(f *flow) {
	c := f.class
	switch {
	case !f.idle() || f.served:
	case c.waiting == 0 || f.next <= c.virtual:
		o.removeFlow(f)
	default:
		f.served = true
		c.served = append(c.served, f)
		if len(c.served) >= maxServed {
			c.virtual++
			o.forgetServed(c)
		}
	}
}

// forgetServed removes the flows that are still idle. The finish tags of all of them
// are at most one run above the virtual time before it advanced.
func (o *fairOrder) forgetServed(c *class) {
	for i, f := range c.served {
		c.served[i], f.served = nil, false
		if f.idle() {
			o.removeFlow(f)
		}
	}
	c.served = c.served[:0]
}

func (o *fairOrder) addFlow(key flowKey) *flow {
	if o.flows == nil {
		o.flows, o.classes = make(map[flowKey]*flow), make(map[classKey]*class)
	}
	c := o.classes[key.class]
	if c == nil {
		c = takeSpare(&o.spareClasses)
		*c = class{served: c.served[:0]}
		o.classes[key.class] = c
	}
	c.flows++
	f := takeSpare(&o.spareFlows)
	*f = flow{key: key, class: c}
	o.flows[key] = f
	return f
}

func (o *fairOrder) removeFlow(f *flow) {
	delete(o.flows, f.key)
	o.spareFlows = append(o.spareFlows, f)
	if f.class.flows--; f.class.flows == 0 {
		delete(o.classes, f.key.class)
		o.spareClasses = append(o.spareClasses, f.class)
	}
}

// takeSpare returns a value for reuse, or a new one.
func takeSpare[T any](spare *[]*T) *T {
	last := len(*spare) - 1
	if last < 0 {
		return new(T)
	}
	value := (*spare)[last]
	*spare = (*spare)[:last]
	return value
}

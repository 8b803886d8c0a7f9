package admitter

// classKey identifies the attempts that are ordered among each other by account.
type classKey struct {
	priority int
	nested   bool
}

// before reports whether attempts of this class go before those of another one.
func (k classKey) before(other classKey) bool {
	if k.priority != other.priority {
		return k.priority < other.priority
	}
	return k.nested && !other.nested
}

// flowKey identifies a flow. All attempts of a class without an account form one flow.
type flowKey struct {
	class   classKey
	account uint32
}

// hasAccounts reports whether only a deployment with accounts sends such attempts.
func (k flowKey) hasAccounts() bool { return k.account != 0 || k.class.nested }

// flow is the state of an account in a class.
type flow struct {
	key   flowKey
	class *class
	// next is the lowest start tag of the next attempt that arrives: the finish tag of
	// the last one.
	next             tag
	waiting, running int
	// served means that the flow is listed in class.served.
	served bool
}

func (f *flow) idle() bool { return f.waiting == 0 && f.running == 0 }

// class is the state of a class that has flows.
type class struct {
	// virtual is the virtual time: the highest start tag that has started.
	virtual        tag
	flows, waiting int
	// served lists the flows that became idle since the virtual time advanced. If they
	// were forgotten earlier, an account that sends one attempt after another could
	// start several for each one of an account that waits.
	served []*flow
}

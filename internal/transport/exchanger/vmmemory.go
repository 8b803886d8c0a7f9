package exchanger

// VMMemory is the memory of a VM for this process, in megabytes.
type VMMemory int64

// Parts of the VM's memory, in percent. The rest is for what the Go runtime does not count,
// such as the program itself, and for garbage.
const (
	requestPercent = 45
	runtimePercent = 72
	percentWhole   = 100
)

// Requests returns the bytes that connections, requests and responses may hold.
func (v VMMemory) Requests() int64 { return v.bytes() / percentWhole * requestPercent }

// Runtime returns the bytes that the Go runtime should not exceed.
func (v VMMemory) Runtime() int64 { return v.bytes() / percentWhole * runtimePercent }

func (v VMMemory) bytes() int64 { return int64(v) << megabyteBits }

const megabyteBits = 20

package clientconn

// ConnectionBytes is what a connection is charged for.
const ConnectionBytes = connectionBytes

// InUse returns what clients hold.
func (g *Guard) InUse() (connections int, bytes int64) { return g.inUse() }

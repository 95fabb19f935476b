package peer

import (
	"net/netip"
)

// MaxDatagramBytes is the largest payload that SendDatagram accepts.
const MaxDatagramBytes = 1150

// DatagramHandler handles one datagram. It must not block, and may retain payload.
type DatagramHandler func(from Identity, payload []byte)

// SendDatagram sends payload once, without retransmission. If there is no connection it returns
// immediately and dials in the background. An error means that the payload was not sent; nil does not mean that it arrived.
func (n *Node) SendDatagram(to netip.AddrPort, payload []byte) error {
	if len(payload) > MaxDatagramBytes {
		return ErrMessageTooLarge
	}
	if c := n.cached(to); c != nil {
		return c.sendDatagram(payload)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return ErrClosed
	}
	n.tasks.Go(func() { n.dialAndSend(to, payload) })
	return nil
}

func (n *Node) dialAndSend(to netip.AddrPort, payload []byte) {
	c, err := n.dial(n.ctx, to)
	if err != nil {
		droppedDatagrams.Inc()
		return
	}
	if err := c.sendDatagram(payload); err != nil {
		droppedDatagrams.Inc()
	}
}

func (c *connection) sendDatagram(payload []byte) error {
	sentDatagrams.Inc()
	return c.quic.SendDatagram(payload)
}

func (n *Node) receiveDatagrams(c *connection) {
	for {
		payload, err := c.quic.ReceiveDatagram(n.ctx)
		if err != nil {
			return
		}
		c.touch()
		receivedDatagrams.Inc()
		if n.datagrams != nil {
			n.datagrams(c.peer, payload)
		}
	}
}

package relay

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
)

const maxPacketBytes = 64 << 10

// packet is one UDP packet in flight.
type packet struct {
	data         []byte
	deliveryTime time.Time
}

// flow relays the packets between one sender and the target. It has its own socket
// so that responses can be assigned to the sender.
type flow struct {
	direction Direction
	address   string
	out       *net.UDPConn
	toTarget  chan packet
	toSender  chan packet
}

// ListenUDP listens on a free port of 127.0.0.1 and relays its packets to target,
// which is in the domain to. The function from returns the domain of a sender.
// ListenUDP returns the relay's address.
func (r *Relay) ListenUDP(to, target string, from func(netip.AddrPort) string) (string, error) {
	destination, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return "", trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	r.onClose(func() { _ = conn.Close() })
	r.tasks.Go(func() { r.receive(conn, destination, to, from) })
	return conn.LocalAddr().String(), nil
}

// receive assigns the packets of all senders to flows until conn is closed.
func (r *Relay) receive(conn *net.UDPConn, destination *net.UDPAddr, to string, from func(netip.AddrPort) string) {
	flows := make(map[netip.AddrPort]*flow)
	defer func() {
		for _, f := range flows {
			_ = f.out.Close()
			close(f.toTarget)
		}
	}()
	buffer := make([]byte, maxPacketBytes)
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if r.ctx.Err() != nil {
				return
			}
			continue
		}
		f := flows[sender]
		if f == nil {
			if f, err = r.newFlow(conn, destination, sender, Direction{From: from(sender), To: to}); err != nil {
				continue
			}
			flows[sender] = f
		}
		r.forward(f, f.direction, f.toTarget, buffer[:n])
	}
}

func (r *Relay) newFlow(conn *net.UDPConn, destination *net.UDPAddr, sender netip.AddrPort, direction Direction) (*flow, error) {
	out, err := net.DialUDP("udp", nil, destination)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	f := &flow{
		direction: direction, address: conn.LocalAddr().String(), out: out,
		toTarget: make(chan packet, maxQueueLength), toSender: make(chan packet, maxQueueLength),
	}
	r.tasks.Go(func() {
		deliver(f.toTarget, func(data []byte) { _, _ = out.Write(data) })
	})
	r.tasks.Go(func() {
		deliver(f.toSender, func(data []byte) { _, _ = conn.WriteToUDPAddrPort(data, sender) })
	})
	r.tasks.Go(func() {
		defer close(f.toSender)
		buffer := make([]byte, maxPacketBytes)
		for {
			n, err := out.Read(buffer)
			if r.ctx.Err() != nil {
				return
			}
			if err == nil {
				r.forward(f, direction.reversed(), f.toSender, buffer[:n])
			}
		}
	})
	return f, nil
}

// forward applies the direction's fault and queues the packet. It drops the packet
// if the queue is full.
func (r *Relay) forward(f *flow, direction Direction, queue chan<- packet, data []byte) {
	fault, _ := r.fault(direction)
	if fault.Blocked || fault.Cut || (fault.Loss > 0 && rand.Float64() < fault.Loss) {
		return
	}
	r.cfg.Tap(f.address, data)
	select {
	case queue <- packet{data: append([]byte{}, data...), deliveryTime: r.deliveryTime(direction)}:
	default:
	}
}

// deliver sends each packet at its delivery time until the queue is closed.
func deliver(queue <-chan packet, send func([]byte)) {
	for p := range queue {
		time.Sleep(time.Until(p.deliveryTime))
		send(p.data)
	}
}

package redis

import (
	"slices"
	"strings"
)

// publish sends a message to a channel's subscribers and returns their number. It closes connections whose message
// buffer is full.
func (g *Group) publish(channel, text string) int {
	for _, c := range g.subscribers[channel] {
		b := value{kind: kindPush, list: []value{bulk("message"), bulk(channel), bulk(text)}}.append(nil, c.proto)
		select {
		case c.messages <- b:
		default: // the client reads too slowly
			c.nc.Close()
		}
	}
	return len(g.subscribers[channel])
}

// unsubscribe removes all subscriptions of a client.
func (g *Group) unsubscribe(c *client) {
	for ch, list := range g.subscribers {
		g.subscribers[ch] = slices.DeleteFunc(list, func(o *client) bool { return o == c })
	}
	close(c.messages)
	c.messages = nil
}

// cmdSubscribe implements SUBSCRIBE. It replies with a confirmation for each channel, in order with the other replies.
// A separate goroutine sends the messages; it starts after the first confirmations have been written.
func cmdSubscribe(x *call, a []string) value {
	c := x.client
	if c.messages == nil {
		c.messages = make(chan []byte, 64)
		c.unsentMessages = c.messages
	}
	out := value{kind: kindSequence}
	for i, ch := range a[1:] {
		x.server.group.subscribers[ch] = append(x.server.group.subscribers[ch], c)
		confirmation := []value{bulk(strings.ToLower(a[0])), bulk(ch), integer(int64(i + 1))}
		out.list = append(out.list, value{kind: kindPush, list: confirmation})
	}
	return out
}

// sendMessages writes subscription messages until the client's subscriptions are removed.
func (c *client) sendMessages(messages <-chan []byte) {
	for b := range messages {
		if c.writeOut(b) != nil {
			c.nc.Close()
		}
	}
}

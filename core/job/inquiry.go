package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// inquiryTimeout bounds the wait for the other entries. It is two resends.
const inquiryTimeout = 500 * time.Millisecond

// inquiry asks the other entries about a job that this one has no record of, or to
// cancel it. A caller's requests reach any entry behind the balancer.
type inquiry struct {
	id     RequestID
	key    zinniasill.Key
	cancel bool
	// open are the entries that have not answered.
	open     []zinniasill.Node
	resendAt time.Time
	deadline time.Time
}

// InquiryResult is the result of an inquiry.
type InquiryResult struct {
	Request RequestID
	// Status is that of the entry that knows the job. Its Known is false when no
	// entry does.
	Status Status
	// Cancelled is true when the owner is cancelling the job.
	Cancelled bool
}

// FindRemote asks all other entries for the state of a job. The result arrives with
// Found.
func (c *Coordinator) FindRemote(now time.Time, id RequestID, key zinniasill.Key) {
	c.inquire(now, &inquiry{id: id, key: key})
}

// CancelRemote asks all other entries to cancel a job. The result arrives with
// Found.
func (c *Coordinator) CancelRemote(now time.Time, id RequestID, key zinniasill.Key) {
	c.inquire(now, &inquiry{id: id, key: key, cancel: true})
}

// InquiryResults returns and clears the results of inquiries.
func (c *Coordinator) InquiryResults() []InquiryResult {
	out := c.found
	c.found = nil
	return out
}

func (c *Coordinator) inquire(now time.Time, q *inquiry) {
	for _, node := range c.cfg.Lease.Catalog().Nodes {
		if node.Role == catalog.RoleEntry && node.Node != c.cfg.Self {
			q.open = append(q.open, node.Node)
		}
	}
	slices.SortFunc(q.open, zinniasill.Node.Compare)
	q.deadline = now.Add(inquiryTimeout)
	c.inquiries = append(c.inquiries, q)
	c.sendInquiry(now, q)
	c.endInquiries(now)
}

func (c *Coordinator) sendInquiry(now time.Time, q *inquiry) {
	q.resendAt = now.Add(resendAfter)
	for _, node := range q.open {
		if q.cancel {
			c.send(node, message.Cancel{Key: q.key})
		} else {
			c.send(node, message.Attach{Key: q.key})
		}
	}
}

// inquiryReply hands an answer to the inquiries that wait for it.
func (c *Coordinator) inquiryReply(now time.Time, from zinniasill.Node, key zinniasill.Key, cancel bool, found InquiryResult) {
	for _, q := range c.inquiries {
		at := slices.Index(q.open, from)
		if q.key != key || q.cancel != cancel || at < 0 {
			continue
		}
		q.open = slices.Delete(q.open, at, at+1)
		if found.Status.Known || found.Cancelled {
			q.open = nil
			found.Request = q.id
			c.found = append(c.found, found)
			q.deadline = time.Time{}
		}
	}
	c.endInquiries(now)
}

// endInquiries ends those that nobody is left to answer or whose time is over.
func (c *Coordinator) endInquiries(now time.Time) {
	c.inquiries = slices.DeleteFunc(c.inquiries, func(q *inquiry) bool {
		switch {
		case q.deadline.IsZero(): // answered
			return true
		case len(q.open) == 0 || !now.Before(q.deadline):
			c.found = append(c.found, InquiryResult{Request: q.id})
			return true
		case !now.Before(q.resendAt):
			c.sendInquiry(now, q)
		}
		return false
	})
}

// cancelFor cancels a job on behalf of another entry.
func (c *Coordinator) cancelFor(now time.Time, from zinniasill.Node, body message.Cancel) {
	c.send(from, message.CancelReply{Key: body.Key, Done: c.Cancel(now, body.Key)})
}

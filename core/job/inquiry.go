package job

import (
	"slices"
	"time"

	"zinniasill"
	"zinniasill/core/catalog"
	"zinniasill/core/message"
)

// inquiryTimeout bounds the wait for replies of other entries. It allows two resends.
const inquiryTimeout = 500 * time.Millisecond

// inquiry is a request to all other entries for the state of a job that this entry has no
// record of, or to cancel it. It is needed because a load balancer may send a caller's
// requests to any entry.
type inquiry struct {
	id     RequestID
	key    zinniasill.Key
	cancel bool
	// pending lists the entries that have not replied.
	pending  []zinniasill.Node
	resendAt time.Time
	deadline time.Time
}

// InquiryResult is the result of an inquiry.
type InquiryResult struct {
	Request RequestID
	// Status is the status at the first entry that replied with a record of the job.
	// Status.Known is false when no entry did.
	Status Status
	// Cancelled is set when the owner has accepted the cancellation.
	Cancelled bool
}

// FindRemote asks all other entries for the state of a job. InquiryResults returns the
// result once there is one.
func (c *Coordinator) FindRemote(now time.Time, id RequestID, key zinniasill.Key) {
	c.startInquiry(now, &inquiry{id: id, key: key})
}

// CancelRemote asks all other entries to cancel a job. InquiryResults returns the result
// once there is one.
func (c *Coordinator) CancelRemote(now time.Time, id RequestID, key zinniasill.Key) {
	c.startInquiry(now, &inquiry{id: id, key: key, cancel: true})
}

// InquiryResults returns and clears the results of ended inquiries.
func (c *Coordinator) InquiryResults() []InquiryResult {
	out := c.inquiryResults
	c.inquiryResults = nil
	return out
}

// startInquiry sends an inquiry to all other entries in the catalog.
func (c *Coordinator) startInquiry(now time.Time, q *inquiry) {
	for _, node := range c.cfg.Lease.Catalog().Nodes {
		if node.Role == catalog.RoleEntry && node.Node != c.cfg.Self {
			q.pending = append(q.pending, node.Node)
		}
	}
	slices.SortFunc(q.pending, zinniasill.Node.Compare)
	q.deadline = now.Add(inquiryTimeout)
	c.inquiries = append(c.inquiries, q)
	c.sendInquiry(now, q)
	c.endInquiries(now)
}

func (c *Coordinator) sendInquiry(now time.Time, q *inquiry) {
	q.resendAt = now.Add(resendTimeout)
	for _, node := range q.pending {
		if q.cancel {
			c.send(node, message.Cancel{Key: q.key})
		} else {
			c.send(node, message.Attach{Key: q.key})
		}
	}
}

// handleInquiryReply applies the reply of an entry to all inquiries that wait for it.
func (c *Coordinator) handleInquiryReply(now time.Time, from zinniasill.Node, key zinniasill.Key, cancel bool, result InquiryResult) {
	for _, q := range c.inquiries {
		at := slices.Index(q.pending, from)
		if q.key != key || q.cancel != cancel || at < 0 {
			continue
		}
		q.pending = slices.Delete(q.pending, at, at+1)
		if result.Status.Known || result.Cancelled {
			q.pending = nil
			result.Request = q.id
			c.inquiryResults = append(c.inquiryResults, result)
			q.deadline = time.Time{}
		}
	}
	c.endInquiries(now)
}

// endInquiries ends the inquiries that are answered, that no entry is left to answer or
// that have timed out, and resends the others that are due.
func (c *Coordinator) endInquiries(now time.Time) {
	c.inquiries = slices.DeleteFunc(c.inquiries, func(q *inquiry) bool {
		switch {
		case q.deadline.IsZero(): // answered
			return true
		case len(q.pending) == 0 || !now.Before(q.deadline):
			c.inquiryResults = append(c.inquiryResults, InquiryResult{Request: q.id})
			return true
		case !now.Before(q.resendAt):
			c.sendInquiry(now, q)
		}
		return false
	})
}

// handleCancel cancels a job at the request of another entry.
func (c *Coordinator) handleCancel(now time.Time, from zinniasill.Node, body message.Cancel) {
	c.send(from, message.CancelReply{Key: body.Key, Done: c.Cancel(now, body.Key)})
}

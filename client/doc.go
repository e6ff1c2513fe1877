// Package client submits jobs to a zinniasill cluster.
//
//	c := client.New(client.Config{
//		Entries: []string{"http://10.0.0.1:7500", "http://10.0.1.1:7500"},
//		Team:    "order-desk",
//	})
//	answer, err := c.Submit(ctx, client.Job{Key: "plate-1734", Profile: "plate", Tasks: [][]byte{card}})
//	var refusal *client.RefusalError
//	if errors.As(err, &refusal) && refusal.Ran == zinniasill.NotRun {
//		// No task was started.
//	}
//
// All attempts of one Submit call use the same idempotency key and, once the job may
// have reached an entry, the same epoch stamp, so that no attempt can start a task a
// second time. Submit never submits the job under another key. A caller that may
// restart stores Job.Key and Job.Epoch, and resubmits the job with both after the
// restart.
package client

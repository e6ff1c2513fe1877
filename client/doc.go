// Package client submits jobs to a zinniasill cluster.
//
//	c := client.New(client.Config{
//		Entries: []string{"http://10.0.0.1:7500", "http://10.0.1.1:7500"},
//		Team:    "order-desk",
//	})
//	answer, err := c.Submit(ctx, client.Job{Key: "plate-1734", Profile: "plate", Tasks: [][]byte{card}})
//	var refusal *client.RefusalError
//	if errors.As(err, &refusal) && refusal.Ran == zinniasill.NotRun {
//		// Nothing ran.
//	}
//
// One call of Submit uses one key and one epoch stamp for all its attempts, so
// that no attempt can start a task a second time. It never submits the work under
// another key. A caller that may restart keeps Job.Key and Job.Epoch, and submits
// the same job again afterwards.
package client

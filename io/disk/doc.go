// Package disk stores the durable state of one control replica in a data folder: its
// identity, its hard state and log, and its snapshot.
//
//	folder, found, err := disk.Open(disk.Config{Path: "/var/lib/zinniasill"})
//	if err != nil {
//		return err
//	}
//	defer folder.Close()
//	for _, torn := range found.Torn {
//		log.Warn(torn)
//	}
//	replica, err := consensus.New(config, found.Recovered)
//	...
//	err = folder.Save(replica.Ready())
//
// The folder holds these files:
//
//	lock      advisory lock of the process that uses the folder
//	identity  instance number of the replica
//	snapshot  applied state at one log index
//	log-N     segment N of the write-ahead log of hard states and entries
//
// Each file except the lock starts with a 16-byte header, followed by frames with
// CRC-32C checksums. A Save without a snapshot writes one frame to the log and syncs it
// once.
package disk

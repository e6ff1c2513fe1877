// Package disk keeps the state of one control replica in a data folder: its
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
//	lock      locked by the process that uses the folder
//	identity  the instance of the replica
//	snapshot  the applied state at one index
//	log-N     segments of the log and hard state, in the order of N
//
// Each file but the lock starts with a 16-byte header, followed by frames with a
// CRC-32C checksum. One Save writes one frame to the log and syncs it once.
package disk

package node

import (
	"testing"
	"time"

	"zinniasill/core/budget"
	"zinniasill/io/caller"
	"zinniasill/io/httpserver"
	"zinniasill/io/settings"
)

// TestDefaultLimits guards against limits that refuse what is documented: the largest legal
// job with nothing else in progress, and many ordinary requests at once.
func TestDefaultLimits(t *testing.T) {
	const megabyte = 1_000_000
	tests := map[string]struct {
		settings settings.Settings
		class    budget.Class
		largest  int64
		requests int
		size     int64
	}{
		"entry VM, product": {
			settings.Settings{MemoryLimit: 184 * megabyte, DescriptorLimit: 3900},
			budget.Callers,
			httpserver.BodyBytes(caller.MaxBodySize), 1200, 20 << 10,
		},
		"entry VM, platform": {
			settings.Settings{MemoryLimit: 184 << 20, DescriptorLimit: 3900},
			budget.Callers,
			httpserver.BodyBytes(256<<10) * 2, 1200, 20 << 10,
		},
		"largest job in little memory": {
			settings.Settings{MemoryLimit: 128 << 20, DescriptorLimit: 3900, MaxRequests: 4096},
			budget.Callers,
			httpserver.BodyBytes(caller.MaxBodySize), 600, 20 << 10,
		},
		"agent VM": {
			settings.Settings{MemoryLimit: 152 << 20, DescriptorLimit: 3900},
			budget.Endpoint,
			httpserver.BodyBytes(4<<20) * 2, 60, 20 << 10,
		},
		"control VM": {
			settings.Settings{MemoryLimit: 408 << 20, DescriptorLimit: 3900},
			budget.Operators,
			httpserver.BodyBytes(MaxDocumentSize) * 4, 60, 20 << 10,
		},
		"--max-requests at once": {
			settings.Settings{MemoryLimit: 1 << 30, DescriptorLimit: 1 << 16},
			budget.Callers,
			httpserver.BodyBytes(caller.MaxBodySize), 4096, 20 << 10,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBudget(test.settings)
			largest, err := b.Open(time.Unix(1, 0), budget.Request{Class: test.class, Client: "a", Size: test.largest})
			if err != nil {
				t.Fatalf("largest request of %d bytes with a budget of %d: %v", test.largest, b.Limit(), err)
			}
			largest.Close()
			for i := range test.requests {
				if _, err := b.Open(time.Unix(1, 0), budget.Request{Class: test.class, Client: "a", Size: test.size}); err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
			}
			if test.class == budget.Callers && connectionLimit(test.settings)*3/4 < test.requests {
				t.Errorf("%d connections for %d requests", connectionLimit(test.settings), test.requests)
			}
		})
	}
}

// TestLimitsOfSmallProcess guards against limits that exceed what the process has.
func TestLimitsOfSmallProcess(t *testing.T) {
	s := settings.Settings{MemoryLimit: 64 << 20, DescriptorLimit: 256, EntryRecords: 128}
	if limit := connectionLimit(s); limit > 256-minOwnDescriptors {
		t.Errorf("%d connections with 256 descriptors", limit)
	}
	if limit := recordLimit(s, s.EntryRecords); limit > 64<<20/4 {
		t.Errorf("%d bytes of records", limit)
	}
	if limit := descriptorLimit(settings.Settings{}); limit < 1 {
		t.Errorf("%d descriptors", limit)
	}
}

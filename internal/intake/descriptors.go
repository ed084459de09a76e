package intake

import (
	"math"

	"golang.org/x/sys/unix"
)

// UsableDescriptors returns the smaller of the stated number of descriptors and that
// which the system allows the process; zero if neither is limited.
func UsableDescriptors(stated int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return stated
	}
	if stated <= 0 || int(limit.Cur) < stated {
		return int(limit.Cur)
	}
	return stated
}

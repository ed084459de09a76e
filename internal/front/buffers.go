package front

import "sync"

// responseBufferStep is the unit in bytes of the capacities of large response buffers.
const responseBufferStep = 64 << 10

// responseBuffers holds large buffers for reuse, by capacity in steps less one. Without
// reuse, responses that are buffered one after the other are garbage faster than a busy
// VM collects it.
var responseBuffers [maxBufferedResponse/responseBufferStep + 1]sync.Pool

// responseBufferSize returns the capacity of the buffer for a response of size bytes.
func responseBufferSize(size int) int {
	if size < responseBufferStep {
		return size
	}
	return (size + responseBufferStep - 1) / responseBufferStep * responseBufferStep
}

// takeResponseBuffer returns an empty buffer of a capacity that responseBufferSize
// returned.
func takeResponseBuffer(size int) []byte {
	if i := size/responseBufferStep - 1; i >= 0 && i < len(responseBuffers) {
		if buffer, ok := responseBuffers[i].Get().(*[]byte); ok {
			return (*buffer)[:0]
		}
	}
	return make([]byte, 0, size)
}

// returnResponseBuffer makes a buffer available that nothing refers to any more.
func returnResponseBuffer(buffer []byte) {
	i := cap(buffer)/responseBufferStep - 1
	if cap(buffer)%responseBufferStep == 0 && i >= 0 && i < len(responseBuffers) {
		responseBuffers[i].Put(&buffer)
	}
}

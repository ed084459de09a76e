package standin

import "io"

// patternBlock is the repeated part of every response body.
var patternBlock = makeBlock()

func makeBlock() []byte {
	b := make([]byte, blockBytes)
	for i := range b {
		b[i] = byte(i*7 + i>>8)
	}
	return b
}

// writeContent writes the first size bytes of a response body: the order ID, then
// a repeated pattern.
func writeContent(w io.Writer, order string, size int64) error {
	part := []byte(order + "\n")
	for size > 0 {
		part = part[:min(int64(len(part)), size)]
		if _, err := w.Write(part); err != nil {
			return err
		}
		size -= int64(len(part))
		part = patternBlock
	}
	return nil
}

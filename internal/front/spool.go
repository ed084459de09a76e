package front

import (
	"io"
	"sync"

	"fuchsiaspar/internal/intake"
	"fuchsiaspar/internal/upstream"
)

// spoolPart is the size in bytes of the parts in which a long response is forwarded.
const spoolPart = 16 << 10

// spool holds the part of a response that a server has sent and the client has not read.
type spool struct {
	client *intake.Conn

	mu      sync.Mutex
	changed sync.Cond
	parts   []spooledPart
	// stopped reports whether the client takes no more.
	stopped bool
	// err is the result of reading the response, once it has ended.
	err error
}

type spooledPart struct {
	data []byte
	// reserved is the number of bytes that are accounted.
	reserved int
}

// spool forwards the rest of a response. While the VM has memory, it reads from the
// server as fast as that sends, so that a client that reads slowly does not occupy a slot
// of the server. It calls onEnd when the server has sent everything.
func (q *request) spool(body *upstream.Body, onEnd func()) error {
	s := &spool{client: q.client()}
	s.changed.L = &s.mu
	// The buffer for reading, and the part that may always be held.
	s.client.Hold(2 * spoolPart)
	defer s.client.Release(2 * spoolPart)
	var filling sync.WaitGroup
	filling.Go(func() {
		err := s.fill(body)
		if err == io.EOF {
			onEnd()
		}
		s.end(err)
	})
	err := s.drain(q.w)
	if err != nil {
		s.stop()
		body.Interrupt()
	}
	filling.Wait()
	for _, part := range s.parts {
		s.client.Release(part.reserved)
	}
	return err
}

// fill reads the response to its end and returns the error that ended it.
func (s *spool) fill(body io.Reader) error {
	buffer := make([]byte, spoolPart)
	for {
		n, err := body.Read(buffer)
		if !s.add(buffer[:n]) {
			return io.ErrClosedPipe
		}
		if err != nil {
			return err
		}
	}
}

// add appends data. One part may always be held. For more, add waits until the VM has
// memory when the client has taken a part. It reports false if the client takes no more.
func (s *spool) add(data []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(data) > 0 && !s.stopped {
		if !s.makeRoom() {
			s.changed.Wait()
			continue
		}
		last := &s.parts[len(s.parts)-1]
		n := min(len(data), cap(last.data)-len(last.data))
		last.data = append(last.data, data[:n]...)
		data = data[n:]
		s.changed.Broadcast()
	}
	return !s.stopped
}

// makeRoom lets the last part have room, and reports false if there is no memory for a
// new one.
func (s *spool) makeRoom() bool {
	if count := len(s.parts); count > 0 && len(s.parts[count-1].data) < spoolPart {
		return true
	}
	reserved := spoolPart
	if !s.client.TryReserve(spoolPart) {
		if len(s.parts) > 0 {
			return false
		}
		reserved = 0
	}
	s.parts = append(s.parts, spooledPart{data: make([]byte, 0, spoolPart), reserved: reserved})
	return true
}

// end records the result of reading the response.
func (s *spool) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
	s.changed.Broadcast()
}

// stop ends the reading of the response, since the client takes no more.
func (s *spool) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.changed.Broadcast()
}

// next waits for a part and removes it. It returns io.EOF after the last one.
func (s *spool) next() (spooledPart, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.parts) == 0 && s.err == nil {
		s.changed.Wait()
	}
	if len(s.parts) == 0 {
		return spooledPart{}, s.err
	}
	part := s.parts[0]
	s.parts[0] = spooledPart{}
	s.parts = s.parts[1:]
	s.changed.Broadcast()
	return part, nil
}

// drain writes the response to the client.
func (s *spool) drain(w io.Writer) error {
	for {
		part, err := s.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		_, err = w.Write(part.data)
		s.release(part)
		if err != nil {
			return err
		}
	}
}

// release ends the accounting of a part that was written.
func (s *spool) release(part spooledPart) {
	s.client.Release(part.reserved)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

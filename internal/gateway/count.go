package gateway

// Callers returns the number of connected callers.
func (s *Server) Callers() int { return s.callers.count() }

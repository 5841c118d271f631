"""HTTP between processes: header names, TLS, and a client that classifies its errors."""

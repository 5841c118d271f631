"""The sidecar role: runs beside one endpoint, controls it and forwards requests to it."""

"""The back ends that requests are routed to: model engines and plain services."""

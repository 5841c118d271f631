"""The demo and the benches, which launch real processes and measure them."""

"""Distribution of weights: chunks between sidecars, and when a version comes into force."""

"""Distribution of model weights: chunk transfer between sidecars, and rollout of versions."""

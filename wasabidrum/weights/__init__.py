"""Distribution of model weights: chunk transfer between sidecars, and rollout of versions.

Distributor fetches and serves chunks. Two components use it to bring a version to an engine:
VersionManager, where the fleet's configuration names the version, and EngineController, where the
platform publishes it. WeightsRelay caches published weights at entries.
"""

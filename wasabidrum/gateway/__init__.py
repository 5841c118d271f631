"""The entry role where the platform publishes routes: requests are passed on unchanged."""

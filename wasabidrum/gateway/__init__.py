"""The entry role for platforms that publish routes; it forwards requests unchanged."""

"""The programs: the daemon and the operators' tool."""

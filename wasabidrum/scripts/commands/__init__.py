"""The commands of the operators' tool, one module each."""

"""What the steps are written with: processes, sites and callers."""

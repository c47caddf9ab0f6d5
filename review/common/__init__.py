"""Stand-ins and helpers for the scripts of the review."""

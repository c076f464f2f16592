"""What limits extra work, and when refused callers should return."""

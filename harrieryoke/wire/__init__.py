"""Framing shared by the internal protocols. No I/O."""

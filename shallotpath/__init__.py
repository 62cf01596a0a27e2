"""Weight distribution in bursts and request routing."""

__version__ = "0.1.0"

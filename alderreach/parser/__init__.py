"""Texts that people and programs send, checked whole."""
